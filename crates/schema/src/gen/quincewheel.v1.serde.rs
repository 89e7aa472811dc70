impl serde::Serialize for Adjacency {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        let variant = match self {
            Self::Any => "ADJACENCY_ANY",
            Self::Worker => "ADJACENCY_WORKER",
            Self::Rack => "ADJACENCY_RACK",
            Self::Zone => "ADJACENCY_ZONE",
        };
        serializer.serialize_str(variant)
    }
}
impl<'de> serde::Deserialize<'de> for Adjacency {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "ADJACENCY_ANY",
            "ADJACENCY_WORKER",
            "ADJACENCY_RACK",
            "ADJACENCY_ZONE",
        ];

        struct GeneratedVisitor;

        impl serde::de::Visitor<'_> for GeneratedVisitor {
            type Value = Adjacency;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(formatter, "expected one of: {:?}", &FIELDS)
            }

            fn visit_i64<E>(self, v: i64) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                i32::try_from(v)
                    .ok()
                    .and_then(|x| x.try_into().ok())
                    .ok_or_else(|| {
                        serde::de::Error::invalid_value(serde::de::Unexpected::Signed(v), &self)
                    })
            }

            fn visit_u64<E>(self, v: u64) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                i32::try_from(v)
                    .ok()
                    .and_then(|x| x.try_into().ok())
                    .ok_or_else(|| {
                        serde::de::Error::invalid_value(serde::de::Unexpected::Unsigned(v), &self)
                    })
            }

            fn visit_str<E>(self, value: &str) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                match value {
                    "ADJACENCY_ANY" => Ok(Adjacency::Any),
                    "ADJACENCY_WORKER" => Ok(Adjacency::Worker),
                    "ADJACENCY_RACK" => Ok(Adjacency::Rack),
                    "ADJACENCY_ZONE" => Ok(Adjacency::Zone),
                    _ => Err(serde::de::Error::unknown_variant(value, FIELDS)),
                }
            }
        }
        deserializer.deserialize_any(GeneratedVisitor)
    }
}
impl serde::Serialize for BurnReply {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.BurnReply", len)?;
        if true {
            struct_ser.serialize_field("rows", &self.rows)?;
        }
        if true {
            struct_ser.serialize_field("entries", &self.entries)?;
        }
        if true {
            struct_ser.serialize_field("missing", &self.missing)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for BurnReply {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "rows",
            "entries",
            "missing",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Rows,
            Entries,
            Missing,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "rows" => Ok(GeneratedField::Rows),
                            "entries" => Ok(GeneratedField::Entries),
                            "missing" => Ok(GeneratedField::Missing),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = BurnReply;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.BurnReply")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<BurnReply, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut rows__ = None;
                let mut entries__ = None;
                let mut missing__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Rows => {
                            if rows__.is_some() {
                                return Err(serde::de::Error::duplicate_field("rows"));
                            }
                            rows__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Entries => {
                            if entries__.is_some() {
                                return Err(serde::de::Error::duplicate_field("entries"));
                            }
                            entries__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Missing => {
                            if missing__.is_some() {
                                return Err(serde::de::Error::duplicate_field("missing"));
                            }
                            missing__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(BurnReply {
                    rows: rows__.unwrap_or_default(),
                    entries: entries__.unwrap_or_default(),
                    missing: missing__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.BurnReply", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for BurnView {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.BurnView", len)?;
        if true {
            struct_ser.serialize_field("team", &self.team)?;
        }
        if true {
            struct_ser.serialize_field("objective", &self.objective)?;
        }
        if true {
            struct_ser.serialize_field("targetPercent", &self.target_percent)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("good", ToString::to_string(&self.good).as_str())?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("bad", ToString::to_string(&self.bad).as_str())?;
        }
        if true {
            struct_ser.serialize_field("burnShort", &self.burn_short)?;
        }
        if true {
            struct_ser.serialize_field("burnLong", &self.burn_long)?;
        }
        if true {
            struct_ser.serialize_field("alert", &self.alert)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for BurnView {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
            "objective",
            "target_percent",
            "targetPercent",
            "good",
            "bad",
            "burn_short",
            "burnShort",
            "burn_long",
            "burnLong",
            "alert",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
            Objective,
            TargetPercent,
            Good,
            Bad,
            BurnShort,
            BurnLong,
            Alert,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            "objective" => Ok(GeneratedField::Objective),
                            "targetPercent" | "target_percent" => Ok(GeneratedField::TargetPercent),
                            "good" => Ok(GeneratedField::Good),
                            "bad" => Ok(GeneratedField::Bad),
                            "burnShort" | "burn_short" => Ok(GeneratedField::BurnShort),
                            "burnLong" | "burn_long" => Ok(GeneratedField::BurnLong),
                            "alert" => Ok(GeneratedField::Alert),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = BurnView;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.BurnView")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<BurnView, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                let mut objective__ = None;
                let mut target_percent__ = None;
                let mut good__ = None;
                let mut bad__ = None;
                let mut burn_short__ = None;
                let mut burn_long__ = None;
                let mut alert__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Objective => {
                            if objective__.is_some() {
                                return Err(serde::de::Error::duplicate_field("objective"));
                            }
                            objective__ = Some(map_.next_value()?);
                        }
                        GeneratedField::TargetPercent => {
                            if target_percent__.is_some() {
                                return Err(serde::de::Error::duplicate_field("targetPercent"));
                            }
                            target_percent__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Good => {
                            if good__.is_some() {
                                return Err(serde::de::Error::duplicate_field("good"));
                            }
                            good__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Bad => {
                            if bad__.is_some() {
                                return Err(serde::de::Error::duplicate_field("bad"));
                            }
                            bad__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::BurnShort => {
                            if burn_short__.is_some() {
                                return Err(serde::de::Error::duplicate_field("burnShort"));
                            }
                            burn_short__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::BurnLong => {
                            if burn_long__.is_some() {
                                return Err(serde::de::Error::duplicate_field("burnLong"));
                            }
                            burn_long__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Alert => {
                            if alert__.is_some() {
                                return Err(serde::de::Error::duplicate_field("alert"));
                            }
                            alert__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(BurnView {
                    team: team__.unwrap_or_default(),
                    objective: objective__.unwrap_or_default(),
                    target_percent: target_percent__.unwrap_or_default(),
                    good: good__.unwrap_or_default(),
                    bad: bad__.unwrap_or_default(),
                    burn_short: burn_short__.unwrap_or_default(),
                    burn_long: burn_long__.unwrap_or_default(),
                    alert: alert__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.BurnView", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for CancelRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.CancelRequest", len)?;
        if true {
            struct_ser.serialize_field("team", &self.team)?;
        }
        if true {
            struct_ser.serialize_field("requestId", &self.request_id)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for CancelRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
            "request_id",
            "requestId",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
            RequestId,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            "requestId" | "request_id" => Ok(GeneratedField::RequestId),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = CancelRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.CancelRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<CancelRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                let mut request_id__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                        GeneratedField::RequestId => {
                            if request_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("requestId"));
                            }
                            request_id__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(CancelRequest {
                    team: team__.unwrap_or_default(),
                    request_id: request_id__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.CancelRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ChangeReply {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.ChangeReply", len)?;
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("version", ToString::to_string(&self.version).as_str())?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("configuration", ToString::to_string(&self.configuration).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ChangeReply {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "version",
            "configuration",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Version,
            Configuration,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "version" => Ok(GeneratedField::Version),
                            "configuration" => Ok(GeneratedField::Configuration),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ChangeReply;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.ChangeReply")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ChangeReply, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut version__ = None;
                let mut configuration__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Version => {
                            if version__.is_some() {
                                return Err(serde::de::Error::duplicate_field("version"));
                            }
                            version__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Configuration => {
                            if configuration__.is_some() {
                                return Err(serde::de::Error::duplicate_field("configuration"));
                            }
                            configuration__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(ChangeReply {
                    version: version__.unwrap_or_default(),
                    configuration: configuration__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.ChangeReply", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ConfigurationReply {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.ConfigurationReply", len)?;
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("configuration", ToString::to_string(&self.configuration).as_str())?;
        }
        if true {
            struct_ser.serialize_field("processes", &self.processes)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ConfigurationReply {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "configuration",
            "processes",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Configuration,
            Processes,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "configuration" => Ok(GeneratedField::Configuration),
                            "processes" => Ok(GeneratedField::Processes),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ConfigurationReply;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.ConfigurationReply")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ConfigurationReply, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut configuration__ = None;
                let mut processes__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Configuration => {
                            if configuration__.is_some() {
                                return Err(serde::de::Error::duplicate_field("configuration"));
                            }
                            configuration__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Processes => {
                            if processes__.is_some() {
                                return Err(serde::de::Error::duplicate_field("processes"));
                            }
                            processes__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(ConfigurationReply {
                    configuration: configuration__.unwrap_or_default(),
                    processes: processes__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.ConfigurationReply", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for DrainRow {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.DrainRow", len)?;
        if true {
            struct_ser.serialize_field("worker", &self.worker)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("version", ToString::to_string(&self.version).as_str())?;
        }
        if true {
            struct_ser.serialize_field("drained", &self.drained)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("configuration", ToString::to_string(&self.configuration).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for DrainRow {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "worker",
            "version",
            "drained",
            "configuration",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Worker,
            Version,
            Drained,
            Configuration,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "worker" => Ok(GeneratedField::Worker),
                            "version" => Ok(GeneratedField::Version),
                            "drained" => Ok(GeneratedField::Drained),
                            "configuration" => Ok(GeneratedField::Configuration),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = DrainRow;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.DrainRow")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<DrainRow, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut worker__ = None;
                let mut version__ = None;
                let mut drained__ = None;
                let mut configuration__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Worker => {
                            if worker__.is_some() {
                                return Err(serde::de::Error::duplicate_field("worker"));
                            }
                            worker__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Version => {
                            if version__.is_some() {
                                return Err(serde::de::Error::duplicate_field("version"));
                            }
                            version__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Drained => {
                            if drained__.is_some() {
                                return Err(serde::de::Error::duplicate_field("drained"));
                            }
                            drained__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Configuration => {
                            if configuration__.is_some() {
                                return Err(serde::de::Error::duplicate_field("configuration"));
                            }
                            configuration__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(DrainRow {
                    worker: worker__.unwrap_or_default(),
                    version: version__.unwrap_or_default(),
                    drained: drained__.unwrap_or_default(),
                    configuration: configuration__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.DrainRow", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ErrorDetail {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.ErrorDetail", len)?;
        if true {
            struct_ser.serialize_field("field", &self.field)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("retryAfterMs", ToString::to_string(&self.retry_after_ms).as_str())?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("currentVersion", ToString::to_string(&self.current_version).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ErrorDetail {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "field",
            "retry_after_ms",
            "retryAfterMs",
            "current_version",
            "currentVersion",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Field,
            RetryAfterMs,
            CurrentVersion,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "field" => Ok(GeneratedField::Field),
                            "retryAfterMs" | "retry_after_ms" => Ok(GeneratedField::RetryAfterMs),
                            "currentVersion" | "current_version" => Ok(GeneratedField::CurrentVersion),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ErrorDetail;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.ErrorDetail")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ErrorDetail, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut field__ = None;
                let mut retry_after_ms__ = None;
                let mut current_version__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Field => {
                            if field__.is_some() {
                                return Err(serde::de::Error::duplicate_field("field"));
                            }
                            field__ = Some(map_.next_value()?);
                        }
                        GeneratedField::RetryAfterMs => {
                            if retry_after_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("retryAfterMs"));
                            }
                            retry_after_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::CurrentVersion => {
                            if current_version__.is_some() {
                                return Err(serde::de::Error::duplicate_field("currentVersion"));
                            }
                            current_version__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(ErrorDetail {
                    field: field__.unwrap_or_default(),
                    retry_after_ms: retry_after_ms__.unwrap_or_default(),
                    current_version: current_version__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.ErrorDetail", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for GetBurnRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.GetBurnRequest", len)?;
        if true {
            struct_ser.serialize_field("team", &self.team)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for GetBurnRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = GetBurnRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.GetBurnRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<GetBurnRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(GetBurnRequest {
                    team: team__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.GetBurnRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for GetConfigurationRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.GetConfigurationRequest", len)?;
        if true {
            struct_ser.serialize_field("team", &self.team)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for GetConfigurationRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = GetConfigurationRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.GetConfigurationRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<GetConfigurationRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(GetConfigurationRequest {
                    team: team__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.GetConfigurationRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for GetJobRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.GetJobRequest", len)?;
        if true {
            struct_ser.serialize_field("team", &self.team)?;
        }
        if true {
            struct_ser.serialize_field("requestId", &self.request_id)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for GetJobRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
            "request_id",
            "requestId",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
            RequestId,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            "requestId" | "request_id" => Ok(GeneratedField::RequestId),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = GetJobRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.GetJobRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<GetJobRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                let mut request_id__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                        GeneratedField::RequestId => {
                            if request_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("requestId"));
                            }
                            request_id__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(GetJobRequest {
                    team: team__.unwrap_or_default(),
                    request_id: request_id__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.GetJobRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for GetPoolRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.GetPoolRequest", len)?;
        if true {
            struct_ser.serialize_field("team", &self.team)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for GetPoolRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = GetPoolRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.GetPoolRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<GetPoolRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(GetPoolRequest {
                    team: team__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.GetPoolRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for GuaranteeRow {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.GuaranteeRow", len)?;
        if true {
            struct_ser.serialize_field("team", &self.team)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("version", ToString::to_string(&self.version).as_str())?;
        }
        if true {
            struct_ser.serialize_field("shares", &self.shares)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("configuration", ToString::to_string(&self.configuration).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for GuaranteeRow {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
            "version",
            "shares",
            "configuration",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
            Version,
            Shares,
            Configuration,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            "version" => Ok(GeneratedField::Version),
                            "shares" => Ok(GeneratedField::Shares),
                            "configuration" => Ok(GeneratedField::Configuration),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = GuaranteeRow;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.GuaranteeRow")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<GuaranteeRow, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                let mut version__ = None;
                let mut shares__ = None;
                let mut configuration__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Version => {
                            if version__.is_some() {
                                return Err(serde::de::Error::duplicate_field("version"));
                            }
                            version__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Shares => {
                            if shares__.is_some() {
                                return Err(serde::de::Error::duplicate_field("shares"));
                            }
                            shares__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Configuration => {
                            if configuration__.is_some() {
                                return Err(serde::de::Error::duplicate_field("configuration"));
                            }
                            configuration__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(GuaranteeRow {
                    team: team__.unwrap_or_default(),
                    version: version__.unwrap_or_default(),
                    shares: shares__.unwrap_or_default(),
                    configuration: configuration__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.GuaranteeRow", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for JobReply {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.JobReply", len)?;
        if true {
            struct_ser.serialize_field("team", &self.team)?;
        }
        if true {
            struct_ser.serialize_field("requestId", &self.request_id)?;
        }
        if true {
            let v = State::try_from(self.state)
                .map_err(|_| serde::ser::Error::custom(format!("Invalid variant {}", self.state)))?;
            struct_ser.serialize_field("state", &v)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("result", pbjson::private::base64::encode(&self.result).as_str())?;
        }
        if true {
            struct_ser.serialize_field("resultObject", &self.result_object)?;
        }
        if true {
            struct_ser.serialize_field("resultDigest", &self.result_digest)?;
        }
        if true {
            struct_ser.serialize_field("reason", &self.reason)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("retryAfterMs", ToString::to_string(&self.retry_after_ms).as_str())?;
        }
        if true {
            struct_ser.serialize_field("attempts", &self.attempts)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for JobReply {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
            "request_id",
            "requestId",
            "state",
            "result",
            "result_object",
            "resultObject",
            "result_digest",
            "resultDigest",
            "reason",
            "retry_after_ms",
            "retryAfterMs",
            "attempts",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
            RequestId,
            State,
            Result,
            ResultObject,
            ResultDigest,
            Reason,
            RetryAfterMs,
            Attempts,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            "requestId" | "request_id" => Ok(GeneratedField::RequestId),
                            "state" => Ok(GeneratedField::State),
                            "result" => Ok(GeneratedField::Result),
                            "resultObject" | "result_object" => Ok(GeneratedField::ResultObject),
                            "resultDigest" | "result_digest" => Ok(GeneratedField::ResultDigest),
                            "reason" => Ok(GeneratedField::Reason),
                            "retryAfterMs" | "retry_after_ms" => Ok(GeneratedField::RetryAfterMs),
                            "attempts" => Ok(GeneratedField::Attempts),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = JobReply;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.JobReply")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<JobReply, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                let mut request_id__ = None;
                let mut state__ = None;
                let mut result__ = None;
                let mut result_object__ = None;
                let mut result_digest__ = None;
                let mut reason__ = None;
                let mut retry_after_ms__ = None;
                let mut attempts__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                        GeneratedField::RequestId => {
                            if request_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("requestId"));
                            }
                            request_id__ = Some(map_.next_value()?);
                        }
                        GeneratedField::State => {
                            if state__.is_some() {
                                return Err(serde::de::Error::duplicate_field("state"));
                            }
                            state__ = Some(map_.next_value::<State>()? as i32);
                        }
                        GeneratedField::Result => {
                            if result__.is_some() {
                                return Err(serde::de::Error::duplicate_field("result"));
                            }
                            result__ = 
                                Some(map_.next_value::<::pbjson::private::BytesDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::ResultObject => {
                            if result_object__.is_some() {
                                return Err(serde::de::Error::duplicate_field("resultObject"));
                            }
                            result_object__ = Some(map_.next_value()?);
                        }
                        GeneratedField::ResultDigest => {
                            if result_digest__.is_some() {
                                return Err(serde::de::Error::duplicate_field("resultDigest"));
                            }
                            result_digest__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Reason => {
                            if reason__.is_some() {
                                return Err(serde::de::Error::duplicate_field("reason"));
                            }
                            reason__ = Some(map_.next_value()?);
                        }
                        GeneratedField::RetryAfterMs => {
                            if retry_after_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("retryAfterMs"));
                            }
                            retry_after_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Attempts => {
                            if attempts__.is_some() {
                                return Err(serde::de::Error::duplicate_field("attempts"));
                            }
                            attempts__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(JobReply {
                    team: team__.unwrap_or_default(),
                    request_id: request_id__.unwrap_or_default(),
                    state: state__.unwrap_or_default(),
                    result: result__.unwrap_or_default(),
                    result_object: result_object__.unwrap_or_default(),
                    result_digest: result_digest__.unwrap_or_default(),
                    reason: reason__.unwrap_or_default(),
                    retry_after_ms: retry_after_ms__.unwrap_or_default(),
                    attempts: attempts__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.JobReply", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for JobRow {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.JobRow", len)?;
        if true {
            struct_ser.serialize_field("team", &self.team)?;
        }
        if true {
            struct_ser.serialize_field("requestId", &self.request_id)?;
        }
        if true {
            struct_ser.serialize_field("idempotent", &self.idempotent)?;
        }
        if let Some(v) = self.shape.as_ref() {
            struct_ser.serialize_field("shape", v)?;
        }
        if true {
            struct_ser.serialize_field("urgent", &self.urgent)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("runMs", ToString::to_string(&self.run_ms).as_str())?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("payload", pbjson::private::base64::encode(&self.payload).as_str())?;
        }
        if true {
            struct_ser.serialize_field("bodyDigest", &self.body_digest)?;
        }
        if true {
            let v = State::try_from(self.state)
                .map_err(|_| serde::ser::Error::custom(format!("Invalid variant {}", self.state)))?;
            struct_ser.serialize_field("state", &v)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("attempt", ToString::to_string(&self.attempt).as_str())?;
        }
        if true {
            struct_ser.serialize_field("members", &self.members)?;
        }
        if true {
            struct_ser.serialize_field("attempts", &self.attempts)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("result", pbjson::private::base64::encode(&self.result).as_str())?;
        }
        if true {
            struct_ser.serialize_field("resultObject", &self.result_object)?;
        }
        if true {
            struct_ser.serialize_field("resultDigest", &self.result_digest)?;
        }
        if true {
            struct_ser.serialize_field("reason", &self.reason)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("expiresUnixMs", ToString::to_string(&self.expires_unix_ms).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for JobRow {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
            "request_id",
            "requestId",
            "idempotent",
            "shape",
            "urgent",
            "run_ms",
            "runMs",
            "payload",
            "body_digest",
            "bodyDigest",
            "state",
            "attempt",
            "members",
            "attempts",
            "result",
            "result_object",
            "resultObject",
            "result_digest",
            "resultDigest",
            "reason",
            "expires_unix_ms",
            "expiresUnixMs",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
            RequestId,
            Idempotent,
            Shape,
            Urgent,
            RunMs,
            Payload,
            BodyDigest,
            State,
            Attempt,
            Members,
            Attempts,
            Result,
            ResultObject,
            ResultDigest,
            Reason,
            ExpiresUnixMs,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            "requestId" | "request_id" => Ok(GeneratedField::RequestId),
                            "idempotent" => Ok(GeneratedField::Idempotent),
                            "shape" => Ok(GeneratedField::Shape),
                            "urgent" => Ok(GeneratedField::Urgent),
                            "runMs" | "run_ms" => Ok(GeneratedField::RunMs),
                            "payload" => Ok(GeneratedField::Payload),
                            "bodyDigest" | "body_digest" => Ok(GeneratedField::BodyDigest),
                            "state" => Ok(GeneratedField::State),
                            "attempt" => Ok(GeneratedField::Attempt),
                            "members" => Ok(GeneratedField::Members),
                            "attempts" => Ok(GeneratedField::Attempts),
                            "result" => Ok(GeneratedField::Result),
                            "resultObject" | "result_object" => Ok(GeneratedField::ResultObject),
                            "resultDigest" | "result_digest" => Ok(GeneratedField::ResultDigest),
                            "reason" => Ok(GeneratedField::Reason),
                            "expiresUnixMs" | "expires_unix_ms" => Ok(GeneratedField::ExpiresUnixMs),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = JobRow;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.JobRow")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<JobRow, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                let mut request_id__ = None;
                let mut idempotent__ = None;
                let mut shape__ = None;
                let mut urgent__ = None;
                let mut run_ms__ = None;
                let mut payload__ = None;
                let mut body_digest__ = None;
                let mut state__ = None;
                let mut attempt__ = None;
                let mut members__ = None;
                let mut attempts__ = None;
                let mut result__ = None;
                let mut result_object__ = None;
                let mut result_digest__ = None;
                let mut reason__ = None;
                let mut expires_unix_ms__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                        GeneratedField::RequestId => {
                            if request_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("requestId"));
                            }
                            request_id__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Idempotent => {
                            if idempotent__.is_some() {
                                return Err(serde::de::Error::duplicate_field("idempotent"));
                            }
                            idempotent__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Shape => {
                            if shape__.is_some() {
                                return Err(serde::de::Error::duplicate_field("shape"));
                            }
                            shape__ = map_.next_value()?;
                        }
                        GeneratedField::Urgent => {
                            if urgent__.is_some() {
                                return Err(serde::de::Error::duplicate_field("urgent"));
                            }
                            urgent__ = Some(map_.next_value()?);
                        }
                        GeneratedField::RunMs => {
                            if run_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("runMs"));
                            }
                            run_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Payload => {
                            if payload__.is_some() {
                                return Err(serde::de::Error::duplicate_field("payload"));
                            }
                            payload__ = 
                                Some(map_.next_value::<::pbjson::private::BytesDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::BodyDigest => {
                            if body_digest__.is_some() {
                                return Err(serde::de::Error::duplicate_field("bodyDigest"));
                            }
                            body_digest__ = Some(map_.next_value()?);
                        }
                        GeneratedField::State => {
                            if state__.is_some() {
                                return Err(serde::de::Error::duplicate_field("state"));
                            }
                            state__ = Some(map_.next_value::<State>()? as i32);
                        }
                        GeneratedField::Attempt => {
                            if attempt__.is_some() {
                                return Err(serde::de::Error::duplicate_field("attempt"));
                            }
                            attempt__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Members => {
                            if members__.is_some() {
                                return Err(serde::de::Error::duplicate_field("members"));
                            }
                            members__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Attempts => {
                            if attempts__.is_some() {
                                return Err(serde::de::Error::duplicate_field("attempts"));
                            }
                            attempts__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Result => {
                            if result__.is_some() {
                                return Err(serde::de::Error::duplicate_field("result"));
                            }
                            result__ = 
                                Some(map_.next_value::<::pbjson::private::BytesDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::ResultObject => {
                            if result_object__.is_some() {
                                return Err(serde::de::Error::duplicate_field("resultObject"));
                            }
                            result_object__ = Some(map_.next_value()?);
                        }
                        GeneratedField::ResultDigest => {
                            if result_digest__.is_some() {
                                return Err(serde::de::Error::duplicate_field("resultDigest"));
                            }
                            result_digest__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Reason => {
                            if reason__.is_some() {
                                return Err(serde::de::Error::duplicate_field("reason"));
                            }
                            reason__ = Some(map_.next_value()?);
                        }
                        GeneratedField::ExpiresUnixMs => {
                            if expires_unix_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("expiresUnixMs"));
                            }
                            expires_unix_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(JobRow {
                    team: team__.unwrap_or_default(),
                    request_id: request_id__.unwrap_or_default(),
                    idempotent: idempotent__.unwrap_or_default(),
                    shape: shape__,
                    urgent: urgent__.unwrap_or_default(),
                    run_ms: run_ms__.unwrap_or_default(),
                    payload: payload__.unwrap_or_default(),
                    body_digest: body_digest__.unwrap_or_default(),
                    state: state__.unwrap_or_default(),
                    attempt: attempt__.unwrap_or_default(),
                    members: members__.unwrap_or_default(),
                    attempts: attempts__.unwrap_or_default(),
                    result: result__.unwrap_or_default(),
                    result_object: result_object__.unwrap_or_default(),
                    result_digest: result_digest__.unwrap_or_default(),
                    reason: reason__.unwrap_or_default(),
                    expires_unix_ms: expires_unix_ms__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.JobRow", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for OwnerRow {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.OwnerRow", len)?;
        if true {
            struct_ser.serialize_field("holder", &self.holder)?;
        }
        if true {
            struct_ser.serialize_field("address", &self.address)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("epoch", ToString::to_string(&self.epoch).as_str())?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("sequence", ToString::to_string(&self.sequence).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for OwnerRow {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "holder",
            "address",
            "epoch",
            "sequence",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Holder,
            Address,
            Epoch,
            Sequence,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "holder" => Ok(GeneratedField::Holder),
                            "address" => Ok(GeneratedField::Address),
                            "epoch" => Ok(GeneratedField::Epoch),
                            "sequence" => Ok(GeneratedField::Sequence),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = OwnerRow;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.OwnerRow")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<OwnerRow, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut holder__ = None;
                let mut address__ = None;
                let mut epoch__ = None;
                let mut sequence__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Holder => {
                            if holder__.is_some() {
                                return Err(serde::de::Error::duplicate_field("holder"));
                            }
                            holder__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Address => {
                            if address__.is_some() {
                                return Err(serde::de::Error::duplicate_field("address"));
                            }
                            address__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Epoch => {
                            if epoch__.is_some() {
                                return Err(serde::de::Error::duplicate_field("epoch"));
                            }
                            epoch__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Sequence => {
                            if sequence__.is_some() {
                                return Err(serde::de::Error::duplicate_field("sequence"));
                            }
                            sequence__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(OwnerRow {
                    holder: holder__.unwrap_or_default(),
                    address: address__.unwrap_or_default(),
                    epoch: epoch__.unwrap_or_default(),
                    sequence: sequence__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.OwnerRow", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for PoolReply {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.PoolReply", len)?;
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("epoch", ToString::to_string(&self.epoch).as_str())?;
        }
        if true {
            struct_ser.serialize_field("owner", &self.owner)?;
        }
        if true {
            struct_ser.serialize_field("workers", &self.workers)?;
        }
        if true {
            struct_ser.serialize_field("teams", &self.teams)?;
        }
        if true {
            struct_ser.serialize_field("storeAvailable", &self.store_available)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for PoolReply {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "epoch",
            "owner",
            "workers",
            "teams",
            "store_available",
            "storeAvailable",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Epoch,
            Owner,
            Workers,
            Teams,
            StoreAvailable,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "epoch" => Ok(GeneratedField::Epoch),
                            "owner" => Ok(GeneratedField::Owner),
                            "workers" => Ok(GeneratedField::Workers),
                            "teams" => Ok(GeneratedField::Teams),
                            "storeAvailable" | "store_available" => Ok(GeneratedField::StoreAvailable),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = PoolReply;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.PoolReply")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<PoolReply, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut epoch__ = None;
                let mut owner__ = None;
                let mut workers__ = None;
                let mut teams__ = None;
                let mut store_available__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Epoch => {
                            if epoch__.is_some() {
                                return Err(serde::de::Error::duplicate_field("epoch"));
                            }
                            epoch__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Owner => {
                            if owner__.is_some() {
                                return Err(serde::de::Error::duplicate_field("owner"));
                            }
                            owner__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Workers => {
                            if workers__.is_some() {
                                return Err(serde::de::Error::duplicate_field("workers"));
                            }
                            workers__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Teams => {
                            if teams__.is_some() {
                                return Err(serde::de::Error::duplicate_field("teams"));
                            }
                            teams__ = Some(map_.next_value()?);
                        }
                        GeneratedField::StoreAvailable => {
                            if store_available__.is_some() {
                                return Err(serde::de::Error::duplicate_field("storeAvailable"));
                            }
                            store_available__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(PoolReply {
                    epoch: epoch__.unwrap_or_default(),
                    owner: owner__.unwrap_or_default(),
                    workers: workers__.unwrap_or_default(),
                    teams: teams__.unwrap_or_default(),
                    store_available: store_available__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.PoolReply", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for ProcessView {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.ProcessView", len)?;
        if true {
            struct_ser.serialize_field("process", &self.process)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("configuration", ToString::to_string(&self.configuration).as_str())?;
        }
        if true {
            struct_ser.serialize_field("entry", &self.entry)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for ProcessView {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "process",
            "configuration",
            "entry",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Process,
            Configuration,
            Entry,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "process" => Ok(GeneratedField::Process),
                            "configuration" => Ok(GeneratedField::Configuration),
                            "entry" => Ok(GeneratedField::Entry),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = ProcessView;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.ProcessView")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<ProcessView, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut process__ = None;
                let mut configuration__ = None;
                let mut entry__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Process => {
                            if process__.is_some() {
                                return Err(serde::de::Error::duplicate_field("process"));
                            }
                            process__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Configuration => {
                            if configuration__.is_some() {
                                return Err(serde::de::Error::duplicate_field("configuration"));
                            }
                            configuration__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Entry => {
                            if entry__.is_some() {
                                return Err(serde::de::Error::duplicate_field("entry"));
                            }
                            entry__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(ProcessView {
                    process: process__.unwrap_or_default(),
                    configuration: configuration__.unwrap_or_default(),
                    entry: entry__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.ProcessView", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for PutDrainRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.PutDrainRequest", len)?;
        if true {
            struct_ser.serialize_field("team", &self.team)?;
        }
        if true {
            struct_ser.serialize_field("worker", &self.worker)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("expectedVersion", ToString::to_string(&self.expected_version).as_str())?;
        }
        if true {
            struct_ser.serialize_field("drained", &self.drained)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for PutDrainRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
            "worker",
            "expected_version",
            "expectedVersion",
            "drained",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
            Worker,
            ExpectedVersion,
            Drained,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            "worker" => Ok(GeneratedField::Worker),
                            "expectedVersion" | "expected_version" => Ok(GeneratedField::ExpectedVersion),
                            "drained" => Ok(GeneratedField::Drained),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = PutDrainRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.PutDrainRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<PutDrainRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                let mut worker__ = None;
                let mut expected_version__ = None;
                let mut drained__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Worker => {
                            if worker__.is_some() {
                                return Err(serde::de::Error::duplicate_field("worker"));
                            }
                            worker__ = Some(map_.next_value()?);
                        }
                        GeneratedField::ExpectedVersion => {
                            if expected_version__.is_some() {
                                return Err(serde::de::Error::duplicate_field("expectedVersion"));
                            }
                            expected_version__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Drained => {
                            if drained__.is_some() {
                                return Err(serde::de::Error::duplicate_field("drained"));
                            }
                            drained__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(PutDrainRequest {
                    team: team__.unwrap_or_default(),
                    worker: worker__.unwrap_or_default(),
                    expected_version: expected_version__.unwrap_or_default(),
                    drained: drained__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.PutDrainRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for PutGuaranteeRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.PutGuaranteeRequest", len)?;
        if true {
            struct_ser.serialize_field("team", &self.team)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("expectedVersion", ToString::to_string(&self.expected_version).as_str())?;
        }
        if true {
            struct_ser.serialize_field("shares", &self.shares)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for PutGuaranteeRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
            "expected_version",
            "expectedVersion",
            "shares",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
            ExpectedVersion,
            Shares,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            "expectedVersion" | "expected_version" => Ok(GeneratedField::ExpectedVersion),
                            "shares" => Ok(GeneratedField::Shares),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = PutGuaranteeRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.PutGuaranteeRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<PutGuaranteeRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                let mut expected_version__ = None;
                let mut shares__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                        GeneratedField::ExpectedVersion => {
                            if expected_version__.is_some() {
                                return Err(serde::de::Error::duplicate_field("expectedVersion"));
                            }
                            expected_version__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Shares => {
                            if shares__.is_some() {
                                return Err(serde::de::Error::duplicate_field("shares"));
                            }
                            shares__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(PutGuaranteeRequest {
                    team: team__.unwrap_or_default(),
                    expected_version: expected_version__.unwrap_or_default(),
                    shares: shares__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.PutGuaranteeRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for PutTeamRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.PutTeamRequest", len)?;
        if true {
            struct_ser.serialize_field("team", &self.team)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("expectedVersion", ToString::to_string(&self.expected_version).as_str())?;
        }
        if true {
            struct_ser.serialize_field("keyDigest", &self.key_digest)?;
        }
        if true {
            struct_ser.serialize_field("quota", &self.quota)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for PutTeamRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
            "expected_version",
            "expectedVersion",
            "key_digest",
            "keyDigest",
            "quota",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
            ExpectedVersion,
            KeyDigest,
            Quota,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            "expectedVersion" | "expected_version" => Ok(GeneratedField::ExpectedVersion),
                            "keyDigest" | "key_digest" => Ok(GeneratedField::KeyDigest),
                            "quota" => Ok(GeneratedField::Quota),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = PutTeamRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.PutTeamRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<PutTeamRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                let mut expected_version__ = None;
                let mut key_digest__ = None;
                let mut quota__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                        GeneratedField::ExpectedVersion => {
                            if expected_version__.is_some() {
                                return Err(serde::de::Error::duplicate_field("expectedVersion"));
                            }
                            expected_version__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::KeyDigest => {
                            if key_digest__.is_some() {
                                return Err(serde::de::Error::duplicate_field("keyDigest"));
                            }
                            key_digest__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Quota => {
                            if quota__.is_some() {
                                return Err(serde::de::Error::duplicate_field("quota"));
                            }
                            quota__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(PutTeamRequest {
                    team: team__.unwrap_or_default(),
                    expected_version: expected_version__.unwrap_or_default(),
                    key_digest: key_digest__.unwrap_or_default(),
                    quota: quota__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.PutTeamRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Shape {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.Shape", len)?;
        if true {
            struct_ser.serialize_field("tasks", &self.tasks)?;
        }
        if true {
            struct_ser.serialize_field("accelerators", &self.accelerators)?;
        }
        if true {
            let v = Adjacency::try_from(self.adjacency)
                .map_err(|_| serde::ser::Error::custom(format!("Invalid variant {}", self.adjacency)))?;
            struct_ser.serialize_field("adjacency", &v)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Shape {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "tasks",
            "accelerators",
            "adjacency",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Tasks,
            Accelerators,
            Adjacency,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "tasks" => Ok(GeneratedField::Tasks),
                            "accelerators" => Ok(GeneratedField::Accelerators),
                            "adjacency" => Ok(GeneratedField::Adjacency),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Shape;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.Shape")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Shape, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut tasks__ = None;
                let mut accelerators__ = None;
                let mut adjacency__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Tasks => {
                            if tasks__.is_some() {
                                return Err(serde::de::Error::duplicate_field("tasks"));
                            }
                            tasks__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Accelerators => {
                            if accelerators__.is_some() {
                                return Err(serde::de::Error::duplicate_field("accelerators"));
                            }
                            accelerators__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Adjacency => {
                            if adjacency__.is_some() {
                                return Err(serde::de::Error::duplicate_field("adjacency"));
                            }
                            adjacency__ = Some(map_.next_value::<Adjacency>()? as i32);
                        }
                    }
                }
                Ok(Shape {
                    tasks: tasks__.unwrap_or_default(),
                    accelerators: accelerators__.unwrap_or_default(),
                    adjacency: adjacency__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.Shape", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Share {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.Share", len)?;
        if let Some(v) = self.shape.as_ref() {
            struct_ser.serialize_field("shape", v)?;
        }
        if true {
            struct_ser.serialize_field("count", &self.count)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Share {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "shape",
            "count",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Shape,
            Count,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "shape" => Ok(GeneratedField::Shape),
                            "count" => Ok(GeneratedField::Count),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Share;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.Share")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Share, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut shape__ = None;
                let mut count__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Shape => {
                            if shape__.is_some() {
                                return Err(serde::de::Error::duplicate_field("shape"));
                            }
                            shape__ = map_.next_value()?;
                        }
                        GeneratedField::Count => {
                            if count__.is_some() {
                                return Err(serde::de::Error::duplicate_field("count"));
                            }
                            count__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(Share {
                    shape: shape__,
                    count: count__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.Share", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for State {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        let variant = match self {
            Self::Unspecified => "STATE_UNSPECIFIED",
            Self::Queued => "STATE_QUEUED",
            Self::Started => "STATE_STARTED",
            Self::Done => "STATE_DONE",
            Self::Failed => "STATE_FAILED",
            Self::NotRun => "STATE_NOT_RUN",
            Self::CancelledNotRun => "STATE_CANCELLED_NOT_RUN",
            Self::CancelledStopped => "STATE_CANCELLED_STOPPED",
            Self::Unknown => "STATE_UNKNOWN",
        };
        serializer.serialize_str(variant)
    }
}
impl<'de> serde::Deserialize<'de> for State {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "STATE_UNSPECIFIED",
            "STATE_QUEUED",
            "STATE_STARTED",
            "STATE_DONE",
            "STATE_FAILED",
            "STATE_NOT_RUN",
            "STATE_CANCELLED_NOT_RUN",
            "STATE_CANCELLED_STOPPED",
            "STATE_UNKNOWN",
        ];

        struct GeneratedVisitor;

        impl serde::de::Visitor<'_> for GeneratedVisitor {
            type Value = State;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(formatter, "expected one of: {:?}", &FIELDS)
            }

            fn visit_i64<E>(self, v: i64) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                i32::try_from(v)
                    .ok()
                    .and_then(|x| x.try_into().ok())
                    .ok_or_else(|| {
                        serde::de::Error::invalid_value(serde::de::Unexpected::Signed(v), &self)
                    })
            }

            fn visit_u64<E>(self, v: u64) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                i32::try_from(v)
                    .ok()
                    .and_then(|x| x.try_into().ok())
                    .ok_or_else(|| {
                        serde::de::Error::invalid_value(serde::de::Unexpected::Unsigned(v), &self)
                    })
            }

            fn visit_str<E>(self, value: &str) -> std::result::Result<Self::Value, E>
            where
                E: serde::de::Error,
            {
                match value {
                    "STATE_UNSPECIFIED" => Ok(State::Unspecified),
                    "STATE_QUEUED" => Ok(State::Queued),
                    "STATE_STARTED" => Ok(State::Started),
                    "STATE_DONE" => Ok(State::Done),
                    "STATE_FAILED" => Ok(State::Failed),
                    "STATE_NOT_RUN" => Ok(State::NotRun),
                    "STATE_CANCELLED_NOT_RUN" => Ok(State::CancelledNotRun),
                    "STATE_CANCELLED_STOPPED" => Ok(State::CancelledStopped),
                    "STATE_UNKNOWN" => Ok(State::Unknown),
                    _ => Err(serde::de::Error::unknown_variant(value, FIELDS)),
                }
            }
        }
        deserializer.deserialize_any(GeneratedVisitor)
    }
}
impl serde::Serialize for SubmitRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.SubmitRequest", len)?;
        if true {
            struct_ser.serialize_field("team", &self.team)?;
        }
        if true {
            struct_ser.serialize_field("requestId", &self.request_id)?;
        }
        if true {
            struct_ser.serialize_field("idempotent", &self.idempotent)?;
        }
        if let Some(v) = self.shape.as_ref() {
            struct_ser.serialize_field("shape", v)?;
        }
        if true {
            struct_ser.serialize_field("urgent", &self.urgent)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("deadlineMs", ToString::to_string(&self.deadline_ms).as_str())?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("runMs", ToString::to_string(&self.run_ms).as_str())?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("payload", pbjson::private::base64::encode(&self.payload).as_str())?;
        }
        if true {
            struct_ser.serialize_field("wait", &self.wait)?;
        }
        if true {
            struct_ser.serialize_field("firstTry", &self.first_try)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for SubmitRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
            "request_id",
            "requestId",
            "idempotent",
            "shape",
            "urgent",
            "deadline_ms",
            "deadlineMs",
            "run_ms",
            "runMs",
            "payload",
            "wait",
            "first_try",
            "firstTry",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
            RequestId,
            Idempotent,
            Shape,
            Urgent,
            DeadlineMs,
            RunMs,
            Payload,
            Wait,
            FirstTry,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            "requestId" | "request_id" => Ok(GeneratedField::RequestId),
                            "idempotent" => Ok(GeneratedField::Idempotent),
                            "shape" => Ok(GeneratedField::Shape),
                            "urgent" => Ok(GeneratedField::Urgent),
                            "deadlineMs" | "deadline_ms" => Ok(GeneratedField::DeadlineMs),
                            "runMs" | "run_ms" => Ok(GeneratedField::RunMs),
                            "payload" => Ok(GeneratedField::Payload),
                            "wait" => Ok(GeneratedField::Wait),
                            "firstTry" | "first_try" => Ok(GeneratedField::FirstTry),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = SubmitRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.SubmitRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<SubmitRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                let mut request_id__ = None;
                let mut idempotent__ = None;
                let mut shape__ = None;
                let mut urgent__ = None;
                let mut deadline_ms__ = None;
                let mut run_ms__ = None;
                let mut payload__ = None;
                let mut wait__ = None;
                let mut first_try__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                        GeneratedField::RequestId => {
                            if request_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("requestId"));
                            }
                            request_id__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Idempotent => {
                            if idempotent__.is_some() {
                                return Err(serde::de::Error::duplicate_field("idempotent"));
                            }
                            idempotent__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Shape => {
                            if shape__.is_some() {
                                return Err(serde::de::Error::duplicate_field("shape"));
                            }
                            shape__ = map_.next_value()?;
                        }
                        GeneratedField::Urgent => {
                            if urgent__.is_some() {
                                return Err(serde::de::Error::duplicate_field("urgent"));
                            }
                            urgent__ = Some(map_.next_value()?);
                        }
                        GeneratedField::DeadlineMs => {
                            if deadline_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("deadlineMs"));
                            }
                            deadline_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::RunMs => {
                            if run_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("runMs"));
                            }
                            run_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Payload => {
                            if payload__.is_some() {
                                return Err(serde::de::Error::duplicate_field("payload"));
                            }
                            payload__ = 
                                Some(map_.next_value::<::pbjson::private::BytesDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Wait => {
                            if wait__.is_some() {
                                return Err(serde::de::Error::duplicate_field("wait"));
                            }
                            wait__ = Some(map_.next_value()?);
                        }
                        GeneratedField::FirstTry => {
                            if first_try__.is_some() {
                                return Err(serde::de::Error::duplicate_field("firstTry"));
                            }
                            first_try__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(SubmitRequest {
                    team: team__.unwrap_or_default(),
                    request_id: request_id__.unwrap_or_default(),
                    idempotent: idempotent__.unwrap_or_default(),
                    shape: shape__,
                    urgent: urgent__.unwrap_or_default(),
                    deadline_ms: deadline_ms__.unwrap_or_default(),
                    run_ms: run_ms__.unwrap_or_default(),
                    payload: payload__.unwrap_or_default(),
                    wait: wait__.unwrap_or_default(),
                    first_try: first_try__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.SubmitRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for TeamRow {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.TeamRow", len)?;
        if true {
            struct_ser.serialize_field("team", &self.team)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("version", ToString::to_string(&self.version).as_str())?;
        }
        if true {
            struct_ser.serialize_field("keyDigest", &self.key_digest)?;
        }
        if true {
            struct_ser.serialize_field("quota", &self.quota)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("configuration", ToString::to_string(&self.configuration).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for TeamRow {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
            "version",
            "key_digest",
            "keyDigest",
            "quota",
            "configuration",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
            Version,
            KeyDigest,
            Quota,
            Configuration,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            "version" => Ok(GeneratedField::Version),
                            "keyDigest" | "key_digest" => Ok(GeneratedField::KeyDigest),
                            "quota" => Ok(GeneratedField::Quota),
                            "configuration" => Ok(GeneratedField::Configuration),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = TeamRow;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.TeamRow")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<TeamRow, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                let mut version__ = None;
                let mut key_digest__ = None;
                let mut quota__ = None;
                let mut configuration__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Version => {
                            if version__.is_some() {
                                return Err(serde::de::Error::duplicate_field("version"));
                            }
                            version__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::KeyDigest => {
                            if key_digest__.is_some() {
                                return Err(serde::de::Error::duplicate_field("keyDigest"));
                            }
                            key_digest__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Quota => {
                            if quota__.is_some() {
                                return Err(serde::de::Error::duplicate_field("quota"));
                            }
                            quota__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Configuration => {
                            if configuration__.is_some() {
                                return Err(serde::de::Error::duplicate_field("configuration"));
                            }
                            configuration__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(TeamRow {
                    team: team__.unwrap_or_default(),
                    version: version__.unwrap_or_default(),
                    key_digest: key_digest__.unwrap_or_default(),
                    quota: quota__.unwrap_or_default(),
                    configuration: configuration__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.TeamRow", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for TeamView {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.TeamView", len)?;
        if true {
            struct_ser.serialize_field("team", &self.team)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("version", ToString::to_string(&self.version).as_str())?;
        }
        if true {
            struct_ser.serialize_field("quota", &self.quota)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("guaranteeVersion", ToString::to_string(&self.guarantee_version).as_str())?;
        }
        if true {
            struct_ser.serialize_field("guarantee", &self.guarantee)?;
        }
        if true {
            struct_ser.serialize_field("held", &self.held)?;
        }
        if true {
            struct_ser.serialize_field("queued", &self.queued)?;
        }
        if true {
            struct_ser.serialize_field("guaranteeFits", &self.guarantee_fits)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for TeamView {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
            "version",
            "quota",
            "guarantee_version",
            "guaranteeVersion",
            "guarantee",
            "held",
            "queued",
            "guarantee_fits",
            "guaranteeFits",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
            Version,
            Quota,
            GuaranteeVersion,
            Guarantee,
            Held,
            Queued,
            GuaranteeFits,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            "version" => Ok(GeneratedField::Version),
                            "quota" => Ok(GeneratedField::Quota),
                            "guaranteeVersion" | "guarantee_version" => Ok(GeneratedField::GuaranteeVersion),
                            "guarantee" => Ok(GeneratedField::Guarantee),
                            "held" => Ok(GeneratedField::Held),
                            "queued" => Ok(GeneratedField::Queued),
                            "guaranteeFits" | "guarantee_fits" => Ok(GeneratedField::GuaranteeFits),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = TeamView;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.TeamView")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<TeamView, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                let mut version__ = None;
                let mut quota__ = None;
                let mut guarantee_version__ = None;
                let mut guarantee__ = None;
                let mut held__ = None;
                let mut queued__ = None;
                let mut guarantee_fits__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Version => {
                            if version__.is_some() {
                                return Err(serde::de::Error::duplicate_field("version"));
                            }
                            version__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Quota => {
                            if quota__.is_some() {
                                return Err(serde::de::Error::duplicate_field("quota"));
                            }
                            quota__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::GuaranteeVersion => {
                            if guarantee_version__.is_some() {
                                return Err(serde::de::Error::duplicate_field("guaranteeVersion"));
                            }
                            guarantee_version__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Guarantee => {
                            if guarantee__.is_some() {
                                return Err(serde::de::Error::duplicate_field("guarantee"));
                            }
                            guarantee__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Held => {
                            if held__.is_some() {
                                return Err(serde::de::Error::duplicate_field("held"));
                            }
                            held__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Queued => {
                            if queued__.is_some() {
                                return Err(serde::de::Error::duplicate_field("queued"));
                            }
                            queued__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::GuaranteeFits => {
                            if guarantee_fits__.is_some() {
                                return Err(serde::de::Error::duplicate_field("guaranteeFits"));
                            }
                            guarantee_fits__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(TeamView {
                    team: team__.unwrap_or_default(),
                    version: version__.unwrap_or_default(),
                    quota: quota__.unwrap_or_default(),
                    guarantee_version: guarantee_version__.unwrap_or_default(),
                    guarantee: guarantee__.unwrap_or_default(),
                    held: held__.unwrap_or_default(),
                    queued: queued__.unwrap_or_default(),
                    guarantee_fits: guarantee_fits__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.TeamView", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for WaitRequest {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.WaitRequest", len)?;
        if true {
            struct_ser.serialize_field("team", &self.team)?;
        }
        if true {
            struct_ser.serialize_field("requestId", &self.request_id)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("deadlineMs", ToString::to_string(&self.deadline_ms).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for WaitRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "team",
            "request_id",
            "requestId",
            "deadline_ms",
            "deadlineMs",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Team,
            RequestId,
            DeadlineMs,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "team" => Ok(GeneratedField::Team),
                            "requestId" | "request_id" => Ok(GeneratedField::RequestId),
                            "deadlineMs" | "deadline_ms" => Ok(GeneratedField::DeadlineMs),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = WaitRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.WaitRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<WaitRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut team__ = None;
                let mut request_id__ = None;
                let mut deadline_ms__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Team => {
                            if team__.is_some() {
                                return Err(serde::de::Error::duplicate_field("team"));
                            }
                            team__ = Some(map_.next_value()?);
                        }
                        GeneratedField::RequestId => {
                            if request_id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("requestId"));
                            }
                            request_id__ = Some(map_.next_value()?);
                        }
                        GeneratedField::DeadlineMs => {
                            if deadline_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("deadlineMs"));
                            }
                            deadline_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(WaitRequest {
                    team: team__.unwrap_or_default(),
                    request_id: request_id__.unwrap_or_default(),
                    deadline_ms: deadline_ms__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.WaitRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for WorkerView {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let mut len = 0;
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        if true {
            len += 1;
        }
        let mut struct_ser = serializer.serialize_struct("quincewheel.v1.WorkerView", len)?;
        if true {
            struct_ser.serialize_field("worker", &self.worker)?;
        }
        if true {
            struct_ser.serialize_field("zone", &self.zone)?;
        }
        if true {
            struct_ser.serialize_field("rack", &self.rack)?;
        }
        if true {
            struct_ser.serialize_field("accelerators", &self.accelerators)?;
        }
        if true {
            struct_ser.serialize_field("free", &self.free)?;
        }
        if true {
            struct_ser.serialize_field("state", &self.state)?;
        }
        if true {
            struct_ser.serialize_field("attempts", &self.attempts)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for WorkerView {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "worker",
            "zone",
            "rack",
            "accelerators",
            "free",
            "state",
            "attempts",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Worker,
            Zone,
            Rack,
            Accelerators,
            Free,
            State,
            Attempts,
        }
        impl<'de> serde::Deserialize<'de> for GeneratedField {
            fn deserialize<D>(deserializer: D) -> std::result::Result<GeneratedField, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                struct GeneratedVisitor;

                impl serde::de::Visitor<'_> for GeneratedVisitor {
                    type Value = GeneratedField;

                    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                        write!(formatter, "expected one of: {:?}", &FIELDS)
                    }

                    #[allow(unused_variables)]
                    fn visit_str<E>(self, value: &str) -> std::result::Result<GeneratedField, E>
                    where
                        E: serde::de::Error,
                    {
                        match value {
                            "worker" => Ok(GeneratedField::Worker),
                            "zone" => Ok(GeneratedField::Zone),
                            "rack" => Ok(GeneratedField::Rack),
                            "accelerators" => Ok(GeneratedField::Accelerators),
                            "free" => Ok(GeneratedField::Free),
                            "state" => Ok(GeneratedField::State),
                            "attempts" => Ok(GeneratedField::Attempts),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = WorkerView;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.v1.WorkerView")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<WorkerView, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut worker__ = None;
                let mut zone__ = None;
                let mut rack__ = None;
                let mut accelerators__ = None;
                let mut free__ = None;
                let mut state__ = None;
                let mut attempts__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Worker => {
                            if worker__.is_some() {
                                return Err(serde::de::Error::duplicate_field("worker"));
                            }
                            worker__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Zone => {
                            if zone__.is_some() {
                                return Err(serde::de::Error::duplicate_field("zone"));
                            }
                            zone__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Rack => {
                            if rack__.is_some() {
                                return Err(serde::de::Error::duplicate_field("rack"));
                            }
                            rack__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Accelerators => {
                            if accelerators__.is_some() {
                                return Err(serde::de::Error::duplicate_field("accelerators"));
                            }
                            accelerators__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Free => {
                            if free__.is_some() {
                                return Err(serde::de::Error::duplicate_field("free"));
                            }
                            free__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::State => {
                            if state__.is_some() {
                                return Err(serde::de::Error::duplicate_field("state"));
                            }
                            state__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Attempts => {
                            if attempts__.is_some() {
                                return Err(serde::de::Error::duplicate_field("attempts"));
                            }
                            attempts__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(WorkerView {
                    worker: worker__.unwrap_or_default(),
                    zone: zone__.unwrap_or_default(),
                    rack: rack__.unwrap_or_default(),
                    accelerators: accelerators__.unwrap_or_default(),
                    free: free__.unwrap_or_default(),
                    state: state__.unwrap_or_default(),
                    attempts: attempts__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.v1.WorkerView", FIELDS, GeneratedVisitor)
    }
}
