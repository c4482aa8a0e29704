//! The keys of operators and instances, and the files or environment variables that hold the keys.

use std::fs;

use crate::document::Field;
use crate::document::JsonObject;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::secret::SecretKey;

/// The largest size of a key file, in bytes.
const KEY_FILE_MAX_BYTES: u64 = 4_096;

/// The file or environment variable that holds a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeySource {
    /// The path of a file.
    File(String),
    /// The name of an environment variable.
    Environment(String),
}

/// The sources of both keys, with the positions of the settings' fields for errors.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeySources {
    /// The source of the key that operators present.
    pub operators: KeySource,
    /// The source of the key that instances present to each other.
    pub instances: KeySource,
    file: String,
    operators_position: FieldPosition,
    instances_position: FieldPosition,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct FieldPosition {
    line: usize,
    field: String,
}

/// The keys of operators and instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Keys {
    /// The key that operators present.
    pub operators: SecretKey,
    /// The key that instances present to each other.
    pub instances: SecretKey,
}

impl KeySources {
    pub(super) fn read(settings: &JsonObject<'_, '_>, file: &str) -> Result<KeySources, Error> {
        let expected_form = "an object that says where the operators' and the instances' keys are";
        let object = settings.require("keys", expected_form)?.object(&[
            "operators_key_file",
            "operators_key_env",
            "instances_key_file",
            "instances_key_env",
        ])?;
        let (operators, operators_position) =
            read_key_source(&object, "operators_key_file", "operators_key_env")?;
        let (instances, instances_position) =
            read_key_source(&object, "instances_key_file", "instances_key_env")?;
        Ok(KeySources {
            operators,
            instances,
            file: String::from(file),
            operators_position,
            instances_position,
        })
    }

    pub(super) fn load(&self) -> Result<Keys, Error> {
        let operators = self.load_key(&self.operators, &self.operators_position)?;
        let instances = self.load_key(&self.instances, &self.instances_position)?;
        if operators == instances {
            let message = String::from("the key is the same as the operators' key");
            return Err(self.error(&self.instances_position, message));
        }
        Ok(Keys {
            operators,
            instances,
        })
    }

    fn load_key(&self, source: &KeySource, position: &FieldPosition) -> Result<SecretKey, Error> {
        let text = read_key_text(source).map_err(|message| self.error(position, message))?;
        SecretKey::new(&text).map_err(|invalid_key| self.error(position, invalid_key.to_string()))
    }

    fn error(&self, position: &FieldPosition, message: String) -> Error {
        Error::new(
            ErrorKind::KeyUnavailable,
            &self.file,
            position.line,
            &position.field,
            message,
        )
    }
}

/// Reads the text of a key. Errors never contain any part of the key.
fn read_key_text(source: &KeySource) -> Result<String, String> {
    match source {
        KeySource::File(name) => {
            let size = fs::metadata(name).map_err(|err| format!("can't read {name}: {err}"))?;
            if size.len() > KEY_FILE_MAX_BYTES {
                return Err(format!("{name} is larger than {KEY_FILE_MAX_BYTES} bytes"));
            }
            fs::read_to_string(name).map_err(|err| format!("can't read {name}: {err}"))
        }
        KeySource::Environment(name) => std::env::var(name)
            .map_err(|_| format!("the environment variable {name} is not set to a text")),
    }
}

/// Reads the source of a key from the two fields of which exactly one must be set.
fn read_key_source(
    object: &JsonObject<'_, '_>,
    file_field: &str,
    environment_field: &str,
) -> Result<(KeySource, FieldPosition), Error> {
    match (object.get(file_field), object.get(environment_field)) {
        (Some(field), None) => Ok((
            KeySource::File(read_source_name(field)?),
            field_position(field),
        )),
        (None, Some(field)) => Ok((
            KeySource::Environment(read_source_name(field)?),
            field_position(field),
        )),
        (Some(_), Some(field)) => {
            let message = format!("{file_field} is given too; expected one of the two");
            Err(field.error(ErrorKind::Conflict, message))
        }
        (None, None) => {
            let message = format!("expected {file_field} or {environment_field}");
            Err(object.error(ErrorKind::MissingField, message))
        }
    }
}

fn read_source_name(field: &Field<'_, '_>) -> Result<String, Error> {
    let expected_form = "the name of a file or of an environment variable";
    match field.text(expected_form)? {
        "" => Err(field.expected(expected_form)),
        text => Ok(String::from(text)),
    }
}

fn field_position(field: &Field<'_, '_>) -> FieldPosition {
    FieldPosition {
        line: field.line(),
        field: String::from(field.path()),
    }
}
