//! The keys of operators and instances, and the files or environment variables that hold the keys.

use std::fs;

use crate::document::Field;
use crate::document::Table;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::secret::SecretKey;

/// The largest size of a key file, in bytes.
const FILE_MAX_BYTES: u64 = 4_096;

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
    operators_place: Place,
    instances_place: Place,
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct Place {
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
    pub(super) fn read(settings: &Table<'_, '_>, file: &str) -> Result<KeySources, Error> {
        let what = "an object that says where the operators' and the instances' keys are";
        let table = settings.need("keys", what)?.table(&[
            "operators_key_file",
            "operators_key_env",
            "instances_key_file",
            "instances_key_env",
        ])?;
        let (operators, operators_place) = one(&table, "operators_key_file", "operators_key_env")?;
        let (instances, instances_place) = one(&table, "instances_key_file", "instances_key_env")?;
        Ok(KeySources {
            operators,
            instances,
            file: String::from(file),
            operators_place,
            instances_place,
        })
    }

    pub(super) fn load(&self) -> Result<Keys, Error> {
        let operators = self.load_one(&self.operators, &self.operators_place)?;
        let instances = self.load_one(&self.instances, &self.instances_place)?;
        if operators == instances {
            let message = String::from("the key is the same as the operators' key");
            return Err(self.error(&self.instances_place, message));
        }
        Ok(Keys {
            operators,
            instances,
        })
    }

    fn load_one(&self, source: &KeySource, place: &Place) -> Result<SecretKey, Error> {
        let text = read(source).map_err(|message| self.error(place, message))?;
        SecretKey::new(&text).map_err(|weak| self.error(place, weak.to_string()))
    }

    fn error(&self, place: &Place, message: String) -> Error {
        Error::new(
            ErrorKind::Key,
            &self.file,
            place.line,
            &place.field,
            message,
        )
    }
}

/// Reads the text of a key. Errors never contain any part of the key.
fn read(source: &KeySource) -> Result<String, String> {
    match source {
        KeySource::File(name) => {
            let size = fs::metadata(name).map_err(|err| format!("can't read {name}: {err}"))?;
            if size.len() > FILE_MAX_BYTES {
                return Err(format!("{name} is larger than {FILE_MAX_BYTES} bytes"));
            }
            fs::read_to_string(name).map_err(|err| format!("can't read {name}: {err}"))
        }
        KeySource::Environment(name) => std::env::var(name)
            .map_err(|_| format!("the environment variable {name} is not set to a text")),
    }
}

/// Reads the source of a key from the two fields of which exactly one must be set.
fn one(
    table: &Table<'_, '_>,
    file_field: &str,
    environment_field: &str,
) -> Result<(KeySource, Place), Error> {
    match (table.get(file_field), table.get(environment_field)) {
        (Some(field), None) => Ok((KeySource::File(name(field)?), place(field))),
        (None, Some(field)) => Ok((KeySource::Environment(name(field)?), place(field))),
        (Some(_), Some(field)) => {
            let message = format!("{file_field} is given too; expected one of the two");
            Err(field.error(ErrorKind::Conflict, message))
        }
        (None, None) => {
            let message = format!("expected {file_field} or {environment_field}");
            Err(table.error(ErrorKind::Missing, message))
        }
    }
}

fn name(field: &Field<'_, '_>) -> Result<String, Error> {
    let what = "the name of a file or of an environment variable";
    match field.text(what)? {
        "" => Err(field.expected(what)),
        text => Ok(String::from(text)),
    }
}

fn place(field: &Field<'_, '_>) -> Place {
    Place {
        line: field.line(),
        field: String::from(field.path()),
    }
}
