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
        let mut struct_ser = serializer.serialize_struct("quincewheel.jobs.v1.CancelRequest", len)?;
        if true {
            struct_ser.serialize_field("queue", &self.queue)?;
        }
        if true {
            struct_ser.serialize_field("id", &self.id)?;
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
            "queue",
            "id",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Queue,
            Id,
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
                            "queue" => Ok(GeneratedField::Queue),
                            "id" => Ok(GeneratedField::Id),
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
                formatter.write_str("struct quincewheel.jobs.v1.CancelRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<CancelRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut queue__ = None;
                let mut id__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Queue => {
                            if queue__.is_some() {
                                return Err(serde::de::Error::duplicate_field("queue"));
                            }
                            queue__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Id => {
                            if id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("id"));
                            }
                            id__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(CancelRequest {
                    queue: queue__.unwrap_or_default(),
                    id: id__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.jobs.v1.CancelRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for CountWaitingReply {
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
        let mut struct_ser = serializer.serialize_struct("quincewheel.jobs.v1.CountWaitingReply", len)?;
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("waiting", ToString::to_string(&self.waiting).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for CountWaitingReply {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "waiting",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Waiting,
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
                            "waiting" => Ok(GeneratedField::Waiting),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = CountWaitingReply;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.jobs.v1.CountWaitingReply")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<CountWaitingReply, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut waiting__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Waiting => {
                            if waiting__.is_some() {
                                return Err(serde::de::Error::duplicate_field("waiting"));
                            }
                            waiting__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(CountWaitingReply {
                    waiting: waiting__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.jobs.v1.CountWaitingReply", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for CountWaitingRequest {
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
        let mut struct_ser = serializer.serialize_struct("quincewheel.jobs.v1.CountWaitingRequest", len)?;
        if true {
            struct_ser.serialize_field("queue", &self.queue)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for CountWaitingRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "queue",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Queue,
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
                            "queue" => Ok(GeneratedField::Queue),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = CountWaitingRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.jobs.v1.CountWaitingRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<CountWaitingRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut queue__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Queue => {
                            if queue__.is_some() {
                                return Err(serde::de::Error::duplicate_field("queue"));
                            }
                            queue__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(CountWaitingRequest {
                    queue: queue__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.jobs.v1.CountWaitingRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for GetStateRequest {
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
        let mut struct_ser = serializer.serialize_struct("quincewheel.jobs.v1.GetStateRequest", len)?;
        if true {
            struct_ser.serialize_field("queue", &self.queue)?;
        }
        if true {
            struct_ser.serialize_field("id", &self.id)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for GetStateRequest {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "queue",
            "id",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Queue,
            Id,
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
                            "queue" => Ok(GeneratedField::Queue),
                            "id" => Ok(GeneratedField::Id),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = GetStateRequest;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.jobs.v1.GetStateRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<GetStateRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut queue__ = None;
                let mut id__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Queue => {
                            if queue__.is_some() {
                                return Err(serde::de::Error::duplicate_field("queue"));
                            }
                            queue__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Id => {
                            if id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("id"));
                            }
                            id__ = Some(map_.next_value()?);
                        }
                    }
                }
                Ok(GetStateRequest {
                    queue: queue__.unwrap_or_default(),
                    id: id__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.jobs.v1.GetStateRequest", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Need {
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
        let mut struct_ser = serializer.serialize_struct("quincewheel.jobs.v1.Need", len)?;
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("cpu", ToString::to_string(&self.cpu).as_str())?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("memory", ToString::to_string(&self.memory).as_str())?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("accelerators", ToString::to_string(&self.accelerators).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Need {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "cpu",
            "memory",
            "accelerators",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Cpu,
            Memory,
            Accelerators,
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
                            "cpu" => Ok(GeneratedField::Cpu),
                            "memory" => Ok(GeneratedField::Memory),
                            "accelerators" => Ok(GeneratedField::Accelerators),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Need;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.jobs.v1.Need")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Need, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut cpu__ = None;
                let mut memory__ = None;
                let mut accelerators__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Cpu => {
                            if cpu__.is_some() {
                                return Err(serde::de::Error::duplicate_field("cpu"));
                            }
                            cpu__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Memory => {
                            if memory__.is_some() {
                                return Err(serde::de::Error::duplicate_field("memory"));
                            }
                            memory__ = 
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
                    }
                }
                Ok(Need {
                    cpu: cpu__.unwrap_or_default(),
                    memory: memory__.unwrap_or_default(),
                    accelerators: accelerators__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.jobs.v1.Need", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Schedule {
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
        let mut struct_ser = serializer.serialize_struct("quincewheel.jobs.v1.Schedule", len)?;
        if true {
            struct_ser.serialize_field("times", &self.times)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("firstMs", ToString::to_string(&self.first_ms).as_str())?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("everyMs", ToString::to_string(&self.every_ms).as_str())?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Schedule {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "times",
            "first_ms",
            "firstMs",
            "every_ms",
            "everyMs",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Times,
            FirstMs,
            EveryMs,
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
                            "times" => Ok(GeneratedField::Times),
                            "firstMs" | "first_ms" => Ok(GeneratedField::FirstMs),
                            "everyMs" | "every_ms" => Ok(GeneratedField::EveryMs),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Schedule;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.jobs.v1.Schedule")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Schedule, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut times__ = None;
                let mut first_ms__ = None;
                let mut every_ms__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Times => {
                            if times__.is_some() {
                                return Err(serde::de::Error::duplicate_field("times"));
                            }
                            times__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::FirstMs => {
                            if first_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("firstMs"));
                            }
                            first_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::EveryMs => {
                            if every_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("everyMs"));
                            }
                            every_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(Schedule {
                    times: times__.unwrap_or_default(),
                    first_ms: first_ms__.unwrap_or_default(),
                    every_ms: every_ms__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.jobs.v1.Schedule", FIELDS, GeneratedVisitor)
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
            Self::Running => "STATE_RUNNING",
            Self::Succeeded => "STATE_SUCCEEDED",
            Self::Failed => "STATE_FAILED",
            Self::Cancelled => "STATE_CANCELLED",
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
            "STATE_RUNNING",
            "STATE_SUCCEEDED",
            "STATE_FAILED",
            "STATE_CANCELLED",
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
                    "STATE_RUNNING" => Ok(State::Running),
                    "STATE_SUCCEEDED" => Ok(State::Succeeded),
                    "STATE_FAILED" => Ok(State::Failed),
                    "STATE_CANCELLED" => Ok(State::Cancelled),
                    _ => Err(serde::de::Error::unknown_variant(value, FIELDS)),
                }
            }
        }
        deserializer.deserialize_any(GeneratedVisitor)
    }
}
impl serde::Serialize for StateReply {
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
        let mut struct_ser = serializer.serialize_struct("quincewheel.jobs.v1.StateReply", len)?;
        if true {
            let v = State::try_from(self.state)
                .map_err(|_| serde::ser::Error::custom(format!("Invalid variant {}", self.state)))?;
            struct_ser.serialize_field("state", &v)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for StateReply {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "state",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            State,
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
                            "state" => Ok(GeneratedField::State),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = StateReply;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.jobs.v1.StateReply")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<StateReply, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut state__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::State => {
                            if state__.is_some() {
                                return Err(serde::de::Error::duplicate_field("state"));
                            }
                            state__ = Some(map_.next_value::<State>()? as i32);
                        }
                    }
                }
                Ok(StateReply {
                    state: state__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.jobs.v1.StateReply", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for Step {
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
        let mut struct_ser = serializer.serialize_struct("quincewheel.jobs.v1.Step", len)?;
        if true {
            struct_ser.serialize_field("count", &self.count)?;
        }
        if let Some(v) = self.need.as_ref() {
            struct_ser.serialize_field("need", v)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("estimateMs", ToString::to_string(&self.estimate_ms).as_str())?;
        }
        if true {
            struct_ser.serialize_field("after", &self.after)?;
        }
        if true {
            struct_ser.serialize_field("checkpoints", &self.checkpoints)?;
        }
        if true {
            struct_ser.serialize_field("gang", &self.gang)?;
        }
        if true {
            struct_ser.serialize_field("sameRack", &self.same_rack)?;
        }
        if true {
            struct_ser.serialize_field("label", &self.label)?;
        }
        if true {
            struct_ser.serialize_field("near", &self.near)?;
        }
        if true {
            struct_ser.serialize_field("perWorker", &self.per_worker)?;
        }
        if true {
            struct_ser.serialize_field("speculative", &self.speculative)?;
        }
        if true {
            struct_ser.serialize_field("perpetual", &self.perpetual)?;
        }
        if true {
            struct_ser.serialize_field("image", &self.image)?;
        }
        if true {
            #[allow(clippy::needless_borrow)]
            #[allow(clippy::needless_borrows_for_generic_args)]
            struct_ser.serialize_field("targetMs", ToString::to_string(&self.target_ms).as_str())?;
        }
        if true {
            struct_ser.serialize_field("fills", &self.fills)?;
        }
        if true {
            struct_ser.serialize_field("maxMissing", &self.max_missing)?;
        }
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for Step {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
            "count",
            "need",
            "estimate_ms",
            "estimateMs",
            "after",
            "checkpoints",
            "gang",
            "same_rack",
            "sameRack",
            "label",
            "near",
            "per_worker",
            "perWorker",
            "speculative",
            "perpetual",
            "image",
            "target_ms",
            "targetMs",
            "fills",
            "max_missing",
            "maxMissing",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Count,
            Need,
            EstimateMs,
            After,
            Checkpoints,
            Gang,
            SameRack,
            Label,
            Near,
            PerWorker,
            Speculative,
            Perpetual,
            Image,
            TargetMs,
            Fills,
            MaxMissing,
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
                            "count" => Ok(GeneratedField::Count),
                            "need" => Ok(GeneratedField::Need),
                            "estimateMs" | "estimate_ms" => Ok(GeneratedField::EstimateMs),
                            "after" => Ok(GeneratedField::After),
                            "checkpoints" => Ok(GeneratedField::Checkpoints),
                            "gang" => Ok(GeneratedField::Gang),
                            "sameRack" | "same_rack" => Ok(GeneratedField::SameRack),
                            "label" => Ok(GeneratedField::Label),
                            "near" => Ok(GeneratedField::Near),
                            "perWorker" | "per_worker" => Ok(GeneratedField::PerWorker),
                            "speculative" => Ok(GeneratedField::Speculative),
                            "perpetual" => Ok(GeneratedField::Perpetual),
                            "image" => Ok(GeneratedField::Image),
                            "targetMs" | "target_ms" => Ok(GeneratedField::TargetMs),
                            "fills" => Ok(GeneratedField::Fills),
                            "maxMissing" | "max_missing" => Ok(GeneratedField::MaxMissing),
                            _ => Err(serde::de::Error::unknown_field(value, FIELDS)),
                        }
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = Step;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.jobs.v1.Step")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<Step, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut count__ = None;
                let mut need__ = None;
                let mut estimate_ms__ = None;
                let mut after__ = None;
                let mut checkpoints__ = None;
                let mut gang__ = None;
                let mut same_rack__ = None;
                let mut label__ = None;
                let mut near__ = None;
                let mut per_worker__ = None;
                let mut speculative__ = None;
                let mut perpetual__ = None;
                let mut image__ = None;
                let mut target_ms__ = None;
                let mut fills__ = None;
                let mut max_missing__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Count => {
                            if count__.is_some() {
                                return Err(serde::de::Error::duplicate_field("count"));
                            }
                            count__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Need => {
                            if need__.is_some() {
                                return Err(serde::de::Error::duplicate_field("need"));
                            }
                            need__ = map_.next_value()?;
                        }
                        GeneratedField::EstimateMs => {
                            if estimate_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("estimateMs"));
                            }
                            estimate_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::After => {
                            if after__.is_some() {
                                return Err(serde::de::Error::duplicate_field("after"));
                            }
                            after__ = 
                                Some(map_.next_value::<Vec<::pbjson::private::NumberDeserialize<_>>>()?
                                    .into_iter().map(|x| x.0).collect())
                            ;
                        }
                        GeneratedField::Checkpoints => {
                            if checkpoints__.is_some() {
                                return Err(serde::de::Error::duplicate_field("checkpoints"));
                            }
                            checkpoints__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Gang => {
                            if gang__.is_some() {
                                return Err(serde::de::Error::duplicate_field("gang"));
                            }
                            gang__ = Some(map_.next_value()?);
                        }
                        GeneratedField::SameRack => {
                            if same_rack__.is_some() {
                                return Err(serde::de::Error::duplicate_field("sameRack"));
                            }
                            same_rack__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Label => {
                            if label__.is_some() {
                                return Err(serde::de::Error::duplicate_field("label"));
                            }
                            label__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Near => {
                            if near__.is_some() {
                                return Err(serde::de::Error::duplicate_field("near"));
                            }
                            near__ = Some(map_.next_value()?);
                        }
                        GeneratedField::PerWorker => {
                            if per_worker__.is_some() {
                                return Err(serde::de::Error::duplicate_field("perWorker"));
                            }
                            per_worker__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Speculative => {
                            if speculative__.is_some() {
                                return Err(serde::de::Error::duplicate_field("speculative"));
                            }
                            speculative__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Perpetual => {
                            if perpetual__.is_some() {
                                return Err(serde::de::Error::duplicate_field("perpetual"));
                            }
                            perpetual__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Image => {
                            if image__.is_some() {
                                return Err(serde::de::Error::duplicate_field("image"));
                            }
                            image__ = Some(map_.next_value()?);
                        }
                        GeneratedField::TargetMs => {
                            if target_ms__.is_some() {
                                return Err(serde::de::Error::duplicate_field("targetMs"));
                            }
                            target_ms__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                        GeneratedField::Fills => {
                            if fills__.is_some() {
                                return Err(serde::de::Error::duplicate_field("fills"));
                            }
                            fills__ = Some(map_.next_value()?);
                        }
                        GeneratedField::MaxMissing => {
                            if max_missing__.is_some() {
                                return Err(serde::de::Error::duplicate_field("maxMissing"));
                            }
                            max_missing__ = 
                                Some(map_.next_value::<::pbjson::private::NumberDeserialize<_>>()?.0)
                            ;
                        }
                    }
                }
                Ok(Step {
                    count: count__.unwrap_or_default(),
                    need: need__,
                    estimate_ms: estimate_ms__.unwrap_or_default(),
                    after: after__.unwrap_or_default(),
                    checkpoints: checkpoints__.unwrap_or_default(),
                    gang: gang__.unwrap_or_default(),
                    same_rack: same_rack__.unwrap_or_default(),
                    label: label__.unwrap_or_default(),
                    near: near__.unwrap_or_default(),
                    per_worker: per_worker__.unwrap_or_default(),
                    speculative: speculative__.unwrap_or_default(),
                    perpetual: perpetual__.unwrap_or_default(),
                    image: image__.unwrap_or_default(),
                    target_ms: target_ms__.unwrap_or_default(),
                    fills: fills__.unwrap_or_default(),
                    max_missing: max_missing__.unwrap_or_default(),
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.jobs.v1.Step", FIELDS, GeneratedVisitor)
    }
}
impl serde::Serialize for SubmitReply {
    #[allow(deprecated)]
    fn serialize<S>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error>
    where
        S: serde::Serializer,
    {
        use serde::ser::SerializeStruct;
        let len = 0;
        let struct_ser = serializer.serialize_struct("quincewheel.jobs.v1.SubmitReply", len)?;
        struct_ser.end()
    }
}
impl<'de> serde::Deserialize<'de> for SubmitReply {
    #[allow(deprecated)]
    fn deserialize<D>(deserializer: D) -> std::result::Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        const FIELDS: &[&str] = &[
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
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
                            Err(serde::de::Error::unknown_field(value, FIELDS))
                    }
                }
                deserializer.deserialize_identifier(GeneratedVisitor)
            }
        }
        struct GeneratedVisitor;
        impl<'de> serde::de::Visitor<'de> for GeneratedVisitor {
            type Value = SubmitReply;

            fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str("struct quincewheel.jobs.v1.SubmitReply")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<SubmitReply, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                while map_.next_key::<GeneratedField>()?.is_some() {
                    let _ = map_.next_value::<serde::de::IgnoredAny>()?;
                }
                Ok(SubmitReply {
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.jobs.v1.SubmitReply", FIELDS, GeneratedVisitor)
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
        let mut struct_ser = serializer.serialize_struct("quincewheel.jobs.v1.SubmitRequest", len)?;
        if true {
            struct_ser.serialize_field("queue", &self.queue)?;
        }
        if true {
            struct_ser.serialize_field("id", &self.id)?;
        }
        if true {
            struct_ser.serialize_field("spec", &self.spec)?;
        }
        if true {
            struct_ser.serialize_field("steps", &self.steps)?;
        }
        if let Some(v) = self.schedule.as_ref() {
            struct_ser.serialize_field("schedule", v)?;
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
            "queue",
            "id",
            "spec",
            "steps",
            "schedule",
        ];

        #[allow(clippy::enum_variant_names)]
        enum GeneratedField {
            Queue,
            Id,
            Spec,
            Steps,
            Schedule,
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
                            "queue" => Ok(GeneratedField::Queue),
                            "id" => Ok(GeneratedField::Id),
                            "spec" => Ok(GeneratedField::Spec),
                            "steps" => Ok(GeneratedField::Steps),
                            "schedule" => Ok(GeneratedField::Schedule),
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
                formatter.write_str("struct quincewheel.jobs.v1.SubmitRequest")
            }

            fn visit_map<V>(self, mut map_: V) -> std::result::Result<SubmitRequest, V::Error>
                where
                    V: serde::de::MapAccess<'de>,
            {
                let mut queue__ = None;
                let mut id__ = None;
                let mut spec__ = None;
                let mut steps__ = None;
                let mut schedule__ = None;
                while let Some(k) = map_.next_key()? {
                    match k {
                        GeneratedField::Queue => {
                            if queue__.is_some() {
                                return Err(serde::de::Error::duplicate_field("queue"));
                            }
                            queue__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Id => {
                            if id__.is_some() {
                                return Err(serde::de::Error::duplicate_field("id"));
                            }
                            id__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Spec => {
                            if spec__.is_some() {
                                return Err(serde::de::Error::duplicate_field("spec"));
                            }
                            spec__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Steps => {
                            if steps__.is_some() {
                                return Err(serde::de::Error::duplicate_field("steps"));
                            }
                            steps__ = Some(map_.next_value()?);
                        }
                        GeneratedField::Schedule => {
                            if schedule__.is_some() {
                                return Err(serde::de::Error::duplicate_field("schedule"));
                            }
                            schedule__ = map_.next_value()?;
                        }
                    }
                }
                Ok(SubmitRequest {
                    queue: queue__.unwrap_or_default(),
                    id: id__.unwrap_or_default(),
                    spec: spec__.unwrap_or_default(),
                    steps: steps__.unwrap_or_default(),
                    schedule: schedule__,
                })
            }
        }
        deserializer.deserialize_struct("quincewheel.jobs.v1.SubmitRequest", FIELDS, GeneratedVisitor)
    }
}
