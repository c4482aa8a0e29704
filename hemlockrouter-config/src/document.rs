//! Reads typed values from JSON with comments.
//!
//! Every error must name a line, and serde discards the position of a value. So settings and notes
//! are read from the syntax tree, through [`Field`] (one value and its position) and [`JsonObject`]
//! (an object with a fixed set of fields).

use std::fmt::Display;
use std::net::SocketAddr;

use jsonc_parser::ast::ObjectProp;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Range;
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_ast;
use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;

use crate::error::Error;
use crate::error::ErrorKind;
use crate::suggest::suggest_name;

/// The largest part of a wrong value that an error quotes, in characters.
const QUOTED_VALUE_MAX_CHARS: usize = 40;

/// The largest number up to which a float holds every whole number.
const EXACT_FLOAT_MAX: f64 = 9_007_199_254_740_992.0;

/// The text of a document, its file name, and the offset at which each line starts.
pub(crate) struct JsonSource<'t> {
    file: &'t str,
    text: &'t str,
    line_starts: Vec<usize>,
}

impl<'t> JsonSource<'t> {
    pub(crate) fn new(text: &'t str, file: &'t str) -> JsonSource<'t> {
        let after_newline = text.match_indices('\n').map(|(index, _)| index + 1);
        let line_starts = std::iter::once(0).chain(after_newline).collect();
        JsonSource {
            file,
            text,
            line_starts,
        }
    }

    /// Parses the text into a syntax tree.
    pub(crate) fn parse(&self) -> Result<Value<'t>, Error> {
        let options = ParseOptions {
            allow_comments: true,
            allow_loose_object_property_names: false,
            allow_trailing_commas: true,
            allow_missing_commas: false,
            allow_single_quoted_strings: false,
            allow_hexadecimal_numbers: false,
            allow_unary_plus_numbers: false,
            allow_bare_decimal_point_numbers: false,
            allow_non_finite_numbers: false,
            allow_extended_string_escapes: false,
        };
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &options);
        let parsed = parsed.map_err(|err| {
            let message = format!("not JSON with comments: {}", err.kind());
            Error::new(
                ErrorKind::Syntax,
                self.file,
                err.line_display(),
                "",
                message,
            )
        })?;
        parsed.value.ok_or_else(|| {
            let message = String::from("expected an object, found nothing");
            Error::new(ErrorKind::Syntax, self.file, 1, "", message)
        })
    }

    /// Returns the outermost value as a field.
    pub(crate) fn root<'s>(&'s self, value: &'s Value<'t>) -> Field<'s, 't> {
        Field {
            source: self,
            path: String::new(),
            line: self.line(value.range()),
            value,
        }
    }

    fn line(&self, range: Range) -> usize {
        self.line_starts
            .partition_point(|&start| start <= range.start)
    }
}

/// A value of the document, with its path and line.
pub(crate) struct Field<'s, 't> {
    source: &'s JsonSource<'t>,
    path: String,
    line: usize,
    value: &'s Value<'t>,
}

impl<'s, 't> Field<'s, 't> {
    pub(crate) fn line(&self) -> usize {
        self.line
    }

    pub(crate) fn path(&self) -> &str {
        &self.path
    }

    pub(crate) fn error(&self, kind: ErrorKind, message: String) -> Error {
        Error::new(kind, self.source.file, self.line, &self.path, message)
    }

    /// Returns an error that names the expected and the actual value.
    pub(crate) fn expected<D>(&self, expected_form: D) -> Error
    where
        D: Display,
    {
        let found = self.quoted();
        self.error(
            ErrorKind::InvalidValue,
            format!("expected {expected_form}, found {found}"),
        )
    }

    pub(crate) fn text(&self, expected_form: &str) -> Result<&'s str, Error> {
        match self.value {
            Value::StringLit(lit) => Ok(&lit.value),
            _ => Err(self.expected(expected_form)),
        }
    }

    pub(crate) fn boolean(&self) -> Result<bool, Error> {
        match self.value {
            Value::BooleanLit(lit) => Ok(lit.value),
            _ => Err(self.expected("true or false")),
        }
    }

    pub(crate) fn number<N>(&self, min: N, max: N) -> Result<N, Error>
    where
        N: Copy + Display + PartialOrd + std::str::FromStr,
    {
        let Value::NumberLit(lit) = self.value else {
            return Err(self.expected(format!("a whole number from {min} to {max}")));
        };
        match parse_whole(lit.value) {
            Some(number) if min <= number && number <= max => Ok(number),
            _ => Err(self.expected(format!("a whole number from {min} to {max}"))),
        }
    }

    /// Returns the value as a number that may have a fraction; `None` if it is no finite number.
    pub(crate) fn decimal(&self) -> Option<f64> {
        let Value::NumberLit(lit) = self.value else {
            return None;
        };
        let number: Option<f64> = lit.value.parse().ok();
        number.filter(|number| number.is_finite())
    }

    pub(crate) fn address(&self) -> Result<SocketAddr, Error> {
        let expected_form = "an IP address with a port, such as \"10.0.0.7:8080\"";
        let text = self.text(expected_form)?;
        text.parse().map_err(|_| self.expected(expected_form))
    }

    pub(crate) fn list(&self, expected_form: &str) -> Result<Vec<Field<'s, 't>>, Error> {
        let Value::Array(array) = self.value else {
            return Err(self.expected(format!("a list of {expected_form}")));
        };
        let fields = array
            .elements
            .iter()
            .enumerate()
            .map(|(index, value)| Field {
                source: self.source,
                path: format!("{}[{index}]", self.path),
                line: self.source.line(value.range()),
                value,
            });
        Ok(fields.collect())
    }

    /// Reads an object, and returns an error for a field that is not among `known`.
    pub(crate) fn object(&self, known: &[&str]) -> Result<JsonObject<'s, 't>, Error> {
        let fields = self.entries("an object")?;
        for (name, field) in &fields {
            if known.contains(name) {
                continue;
            }
            let hint = match suggest_name(name, known) {
                Some(suggestion) => format!("did you mean \"{suggestion}\"?"),
                None => format!("expected one of {}", known.join(", ")),
            };
            return Err(field.error(ErrorKind::UnknownField, format!("unknown field; {hint}")));
        }
        Ok(JsonObject {
            source: self.source,
            path: self.path.clone(),
            line: self.line,
            fields,
        })
    }

    /// Reads the fields of an object with arbitrary field names, in the order of the text.
    pub(crate) fn entries(
        &self,
        expected_form: &str,
    ) -> Result<Vec<(&'s str, Field<'s, 't>)>, Error> {
        let Value::Object(object) = self.value else {
            return Err(self.expected(expected_form));
        };
        let fields = object.properties.iter().map(|prop| self.entry(prop));
        let fields: Vec<(&'s str, Field<'s, 't>)> = fields.collect();
        let mut names: Vec<(&str, usize)> = fields
            .iter()
            .enumerate()
            .map(|(index, (name, _))| (*name, index))
            .collect();
        names.sort_unstable();
        if let Some(pair) = names.windows(2).find(|pair| pair[0].0 == pair[1].0) {
            let first = fields[pair[0].1].1.line;
            let message = format!("is given twice; first on line {first}");
            return Err(fields[pair[1].1].1.error(ErrorKind::Conflict, message));
        }
        Ok(fields)
    }

    fn entry(&self, prop: &'s ObjectProp<'t>) -> (&'s str, Field<'s, 't>) {
        let name = prop.name.as_str();
        let path = match self.path.as_str() {
            "" => String::from(name),
            path => format!("{path}.{name}"),
        };
        let field = Field {
            source: self.source,
            path,
            line: self.source.line(prop.range()),
            value: &prop.value,
        };
        (name, field)
    }

    /// Returns a short form of the value on one line, for errors.
    fn quoted(&self) -> String {
        let range = self.value.range();
        match self.value {
            Value::Object(_) => String::from("an object"),
            Value::Array(_) => String::from("a list"),
            _ => {
                let text = &self.source.text[range.start..range.end];
                let mut quoted_text: String = text.chars().take(QUOTED_VALUE_MAX_CHARS).collect();
                if quoted_text.len() < text.len() {
                    quoted_text.push_str("...");
                }
                quoted_text
            }
        }
    }
}

/// Parses a whole number in any notation of JSON, such as `260`, `260.0` or `2.6e2`.
fn parse_whole<N>(text: &str) -> Option<N>
where
    N: std::str::FromStr,
{
    if let Ok(number) = text.parse() {
        return Some(number);
    }
    let number: f64 = text.parse().ok()?;
    let is_whole = number.fract() == 0.0 && number.abs() <= EXACT_FLOAT_MAX;
    let number = is_whole.then(|| format!("{number:.0}"))?;
    number.parse().ok()
}

/// An object with a fixed set of fields.
pub(crate) struct JsonObject<'s, 't> {
    source: &'s JsonSource<'t>,
    path: String,
    line: usize,
    fields: Vec<(&'s str, Field<'s, 't>)>,
}

impl<'s, 't> JsonObject<'s, 't> {
    pub(crate) fn get(&self, name: &str) -> Option<&Field<'s, 't>> {
        let found = self.fields.iter().find(|(field, _)| *field == name);
        found.map(|(_, field)| field)
    }

    pub(crate) fn require(&self, name: &str, expected_form: &str) -> Result<&Field<'s, 't>, Error> {
        self.get(name).ok_or_else(|| {
            let path = match self.path.as_str() {
                "" => String::from(name),
                path => format!("{path}.{name}"),
            };
            let message = format!("missing; expected {expected_form}");
            Error::new(
                ErrorKind::MissingField,
                self.source.file,
                self.line,
                &path,
                message,
            )
        })
    }

    pub(crate) fn error(&self, kind: ErrorKind, message: String) -> Error {
        Error::new(kind, self.source.file, self.line, &self.path, message)
    }

    /// Reads the field `name` as a number, or returns `default` if the field is absent.
    pub(crate) fn number_or<N>(&self, name: &str, default: N, min: N, max: N) -> Result<N, Error>
    where
        N: Copy + Display + PartialOrd + std::str::FromStr,
    {
        match self.get(name) {
            Some(field) => field.number(min, max),
            None => Ok(default),
        }
    }
}
