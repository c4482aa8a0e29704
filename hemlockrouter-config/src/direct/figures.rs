//! Reads settings that the platform fills in.
//!
//! A process that does not start serves nobody, and a process that runs keeps its settings until it
//! is started again. Therefore a value that can't be used is replaced by a safe one, at the start
//! and in a reload alike, and reported.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use crate::document::Field;
use crate::document::JsonObject;
use crate::error::Error;

/// A value of the settings that can't be used, and its replacement.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplacedValue {
    /// The error, with the line, the field and the expected value.
    pub error: Error,
    /// The value that is used instead.
    pub used: String,
}

/// Reads values and collects those that had to be replaced.
#[derive(Default)]
pub(super) struct FigureReader {
    pub(super) replaced: Vec<ReplacedValue>,
}

impl FigureReader {
    /// Reads a number, which may have a fraction. A positive number outside `range` is replaced by the
    /// nearest one inside, and any other value by `default`: zero and less bound nothing.
    pub(super) fn read(
        &mut self,
        object: &JsonObject<'_, '_>,
        name: &str,
        default: f64,
        range: RangeInclusive<f64>,
    ) -> f64 {
        let Some(field) = object.get(name) else {
            return default;
        };
        let (min, max) = (*range.start(), *range.end());
        let number = field.decimal();
        if let Some(number) = number.filter(|number| range.contains(number)) {
            return number;
        }
        let positive = number.filter(|number| *number > 0.0);
        let used = positive.map_or(default, |number| number.clamp(min, max));
        self.replace(
            field.expected(format!("a number from {min} to {max}")),
            used,
        );
        used
    }

    /// Reads a duration in milliseconds. A fraction of a millisecond is cut off.
    pub(super) fn read_ms(
        &mut self,
        object: &JsonObject<'_, '_>,
        name: &str,
        default_ms: f64,
        range_ms: RangeInclusive<f64>,
    ) -> u64 {
        self.read(object, name, default_ms, range_ms) as u64
    }

    /// Reads a duration in seconds, and returns it in milliseconds.
    pub(super) fn read_s(
        &mut self,
        object: &JsonObject<'_, '_>,
        name: &str,
        default_s: f64,
        range_s: RangeInclusive<f64>,
    ) -> u64 {
        (1_000.0 * self.read(object, name, default_s, range_s)) as u64
    }

    /// Reads the address of an optional port. A port whose address can't be used is left out.
    pub(super) fn read_optional_address(
        &mut self,
        object: &JsonObject<'_, '_>,
        name: &str,
    ) -> Option<SocketAddr> {
        self.address_or_none(object.get(name)?)
    }

    /// Reads a list of addresses without those that can't be used.
    pub(super) fn read_addresses(
        &mut self,
        object: &JsonObject<'_, '_>,
        name: &str,
    ) -> Vec<SocketAddr> {
        let Some(field) = object.get(name) else {
            return Vec::new();
        };
        match field.list("IP addresses with ports") {
            Ok(list) => list
                .iter()
                .filter_map(|field| self.address_or_none(field))
                .collect(),
            Err(error) => {
                self.replace(error, "none");
                Vec::new()
            }
        }
    }

    fn address_or_none(&mut self, field: &Field<'_, '_>) -> Option<SocketAddr> {
        let address = field.address();
        address.map_err(|error| self.replace(error, "none")).ok()
    }

    fn replace<V>(&mut self, error: Error, used: V)
    where
        V: Display,
    {
        self.replaced.push(ReplacedValue {
            error,
            used: used.to_string(),
        });
    }
}
