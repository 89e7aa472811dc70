//! Compares the committed generated code with what the schema gives now.

use std::path::Path;
use std::{env, fs};

#[test]
fn generated_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = [
        "quincewheel/v1/scheduler.proto",
        "quincewheel/v1/rows.proto",
        "quincewheel/jobs/v1/jobs.proto",
    ];
    let set = protox::compile(files, [root.join("proto")]).unwrap();
    let out = env::temp_dir().join(format!("quincewheel-schema-{}", std::process::id()));
    fs::create_dir_all(&out).unwrap();
    prost_build::Config::new().out_dir(&out).compile_fds(set.clone()).unwrap();
    let bytes = prost::Message::encode_to_vec(&set);
    pbjson_build::Builder::new()
        .out_dir(&out)
        .register_descriptors(&bytes)
        .unwrap()
        .emit_fields()
        .build(&[".quincewheel"])
        .unwrap();
    let mut stale = Vec::new();
    let names = [
        "quincewheel.v1.rs",
        "quincewheel.v1.serde.rs",
        "quincewheel.jobs.v1.rs",
        "quincewheel.jobs.v1.serde.rs",
    ];
    for name in names {
        let fresh = fs::read_to_string(out.join(name)).unwrap();
        let committed = root.join("src/gen").join(name);
        if env::var_os("QUINCEWHEEL_REGENERATE").is_some() {
            fs::write(&committed, &fresh).unwrap();
        } else if fs::read_to_string(&committed).unwrap_or_default() != fresh {
            stale.push(name);
        }
    }
    fs::remove_dir_all(&out).unwrap();
    assert!(stale.is_empty(), "stale: {stale:?}; run again with QUINCEWHEEL_REGENERATE=1");
}
