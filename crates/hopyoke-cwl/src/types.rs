//! CWL types and the values they accept.

use serde_json::Value;
use std::fmt;

/// The maximum length of a type name. Limits recursion, as each `[]` suffix nests the type in an array.
pub const MAX_TYPE_NAME_BYTES: usize = 64;

#[derive(Debug, Clone, PartialEq)]
pub enum Type {
    Null,
    Any,
    Boolean,
    Int,
    Long,
    Float,
    Double,
    String,
    File,
    Directory,
    /// The file that captures the tool's standard output.
    Stdout,
    /// The file that captures the tool's standard error.
    Stderr,
    Array(Box<Type>),
    Enum(Vec<String>),
    Record(Vec<(String, Type)>),
    Union(Vec<Type>),
}

impl Type {
    /// Returns the optional type `T?`.
    pub fn optional(self) -> Type {
        match self {
            Type::Union(mut list) => {
                if !list.contains(&Type::Null) {
                    list.insert(0, Type::Null);
                }
                Type::Union(list)
            }
            t => Type::Union(vec![Type::Null, t]),
        }
    }

    /// Parses a type name such as `File[]?`. Returns `None` if it is unknown or too long.
    pub fn parse(text: &str) -> Option<Type> {
        if text.len() > MAX_TYPE_NAME_BYTES {
            return None;
        }
        if let Some(t) = text.strip_suffix('?') {
            return Some(Type::parse(t)?.optional());
        }
        if let Some(t) = text.strip_suffix("[]") {
            return Some(Type::Array(Box::new(Type::parse(t)?)));
        }
        Some(match text {
            "null" => Type::Null,
            "Any" => Type::Any,
            "boolean" => Type::Boolean,
            "int" => Type::Int,
            "long" => Type::Long,
            "float" => Type::Float,
            "double" => Type::Double,
            "string" => Type::String,
            "File" => Type::File,
            "Directory" => Type::Directory,
            "stdout" => Type::Stdout,
            "stderr" => Type::Stderr,
            "stdin" => Type::File,
            _ => return None,
        })
    }

    pub fn accepts_null(&self) -> bool {
        match self {
            Type::Null => true,
            Type::Union(list) => list.iter().any(Type::accepts_null),
            _ => false,
        }
    }

    /// Returns true if some value of this type is a list.
    pub fn may_be_array(&self) -> bool {
        match self {
            Type::Array(_) | Type::Any => true,
            Type::Union(list) => list.iter().any(Type::may_be_array),
            _ => false,
        }
    }

    /// Returns the element type of an array. Returns `None` if the type has no array.
    pub fn items(&self) -> Option<Type> {
        match self {
            Type::Array(t) => Some((**t).clone()),
            Type::Any => Some(Type::Any),
            Type::Union(list) => list.iter().find_map(Type::items),
            _ => None,
        }
    }

    /// Returns true if the value is of this type. Deferred values are always accepted.
    pub fn accepts(&self, value: &Value) -> bool {
        if crate::expr::is_deferred(value) {
            return true;
        }
        let class = || value.get("class").and_then(Value::as_str);
        match self {
            Type::Null => value.is_null(),
            Type::Any => !value.is_null(),
            Type::Boolean => value.is_boolean(),
            Type::Int => value.as_i64().is_some_and(|n| i32::try_from(n).is_ok()),
            Type::Long => value.as_i64().is_some(),
            Type::Float | Type::Double => value.is_number(),
            Type::String => value.is_string(),
            Type::File | Type::Stdout | Type::Stderr => class() == Some("File"),
            Type::Directory => class() == Some("Directory"),
            Type::Array(t) => value
                .as_array()
                .is_some_and(|l| l.iter().all(|v| t.accepts(v))),
            Type::Enum(symbols) => value
                .as_str()
                .is_some_and(|s| symbols.iter().any(|x| x == s)),
            Type::Record(fields) => value.as_object().is_some_and(|o| {
                fields
                    .iter()
                    .all(|(k, t)| t.accepts(o.get(k).unwrap_or(&Value::Null)))
            }),
            Type::Union(list) => list.iter().any(|t| t.accepts(value)),
        }
    }

    /// Returns true if some value of this type can be used as `to`. As in CWL v1.2, it suffices that the types
    /// overlap.
    pub fn assignable_to(&self, to: &Type) -> bool {
        match (self, to) {
            (Type::Any, _) | (_, Type::Any) => true,
            (Type::Union(list), to) => list.iter().any(|t| t.assignable_to(to)),
            (from, Type::Union(list)) => list.iter().any(|t| from.assignable_to(t)),
            (Type::Array(a), Type::Array(b)) => a.assignable_to(b),
            (Type::Int, Type::Long | Type::Float | Type::Double) => true,
            (Type::Long, Type::Int | Type::Float | Type::Double) => true,
            (Type::Float, Type::Double) | (Type::Double, Type::Float) => true,
            (Type::Stdout | Type::Stderr, Type::File) => true,
            (Type::Enum(_), Type::String) | (Type::String, Type::Enum(_)) => true,
            (Type::Enum(a), Type::Enum(b)) => a.iter().any(|s| b.contains(s)),
            (Type::Record(a), Type::Record(b)) => {
                b.iter().all(|(k, t)| match a.iter().find(|f| f.0 == *k) {
                    Some((_, from)) => from.assignable_to(t),
                    None => t.accepts_null(),
                })
            }
            (a, b) => a == b,
        }
    }
}

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Type::Null => f.write_str("null"),
            Type::Any => f.write_str("Any"),
            Type::Boolean => f.write_str("boolean"),
            Type::Int => f.write_str("int"),
            Type::Long => f.write_str("long"),
            Type::Float => f.write_str("float"),
            Type::Double => f.write_str("double"),
            Type::String => f.write_str("string"),
            Type::File => f.write_str("File"),
            Type::Directory => f.write_str("Directory"),
            Type::Stdout => f.write_str("stdout"),
            Type::Stderr => f.write_str("stderr"),
            Type::Array(t) => write!(f, "{t}[]"),
            Type::Enum(symbols) => write!(f, "one of {}", symbols.join(", ")),
            Type::Record(fields) => {
                let list: Vec<String> = fields.iter().map(|(k, t)| format!("{k}: {t}")).collect();
                write!(f, "record {{{}}}", list.join(", "))
            }
            Type::Union(list) => match list.as_slice() {
                [Type::Null, t] => write!(f, "{t}?"),
                _ => {
                    let list: Vec<String> = list.iter().map(Type::to_string).collect();
                    f.write_str(&list.join(" or "))
                }
            },
        }
    }
}
