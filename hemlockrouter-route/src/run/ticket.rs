//! Tickets: request identifiers that one instance issues and that only this instance may run.
//!
//! A ticket carries its issuer, its expiry, a random nonce and an authentication code. The code
//! covers these fields, the customer and the operation, and only the issuer can compute it. So an
//! instance stores nothing for a ticket until the ticket is used, and a customer that requests many
//! tickets uses no memory. An instance that forwards a ticket reads the issuer from it, but only
//! the issuer can verify the code.

use std::fmt::Write;

use hemlockrouter_types::prelude::*;
use sha2::Digest;
use sha2::Sha256;

/// Length of the authentication code in a ticket, in bytes.
const AUTH_CODE_LEN: usize = 16;

/// Parsed form of a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Ticket {
    pub(super) issuer: InstanceId,
    pub(super) nonce: u64,
    pub(super) expires_at: Time,
    auth_code: [u8; AUTH_CODE_LEN],
}

/// Secret key that creates and verifies the authentication codes of one instance's tickets.
#[derive(Clone)]
pub(super) struct TicketSecret([u8; 32]);

impl std::fmt::Debug for TicketSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret")
    }
}

impl TicketSecret {
    pub(super) fn new(bytes: [u8; 32]) -> TicketSecret {
        TicketSecret(bytes)
    }

    /// Creates a ticket with its authentication code.
    pub(super) fn issue(
        &self,
        issuer: InstanceId,
        nonce: u64,
        expires_at: Time,
        customer: CustomerKey,
        operation: OperationKey,
    ) -> Ticket {
        let mut ticket = Ticket {
            issuer,
            nonce,
            expires_at,
            auth_code: [0; AUTH_CODE_LEN],
        };
        ticket.auth_code = self.auth_code(&ticket, customer, operation);
        ticket
    }

    /// Returns whether this instance issued `ticket` for `customer` and `operation`.
    pub(super) fn verify(
        &self,
        ticket: &Ticket,
        customer: CustomerKey,
        operation: OperationKey,
    ) -> bool {
        let expected = self.auth_code(ticket, customer, operation);
        // The comparison reads all bytes, so its duration does not reveal how many bytes match.
        let differing_bits = expected.iter().zip(&ticket.auth_code).map(|(a, b)| a ^ b);
        differing_bits.fold(0, |all, bits| all | bits) == 0
    }

    /// Computes the authentication code of a ticket.
    ///
    /// All fields have a fixed length, so a plain hash with the secret as prefix is a sound code.
    fn auth_code(
        &self,
        ticket: &Ticket,
        customer: CustomerKey,
        operation: OperationKey,
    ) -> [u8; AUTH_CODE_LEN] {
        let hash = Sha256::new()
            .chain_update(self.0)
            .chain_update(ticket.issuer.0.to_be_bytes())
            .chain_update(ticket.nonce.to_be_bytes())
            .chain_update(ticket.expires_at.as_ms().to_be_bytes())
            .chain_update(customer.raw().to_be_bytes())
            .chain_update(operation.raw().to_be_bytes())
            .finalize();
        let mut code = [0; AUTH_CODE_LEN];
        code.copy_from_slice(&hash[..AUTH_CODE_LEN]);
        code
    }
}

impl Ticket {
    /// Parses a ticket, or returns `None` if `text` is not a ticket.
    pub(super) fn parse(text: &str) -> Option<Ticket> {
        let mut fields = text.strip_prefix("t-")?.split('-');
        let ticket = Ticket {
            issuer: InstanceId(parse_hex_u64(fields.next()?)?),
            nonce: parse_hex_u64(fields.next()?)?,
            expires_at: Time::from_ms(parse_hex_u64(fields.next()?)?),
            auth_code: parse_hex_u128(fields.next()?)?.to_be_bytes(),
        };
        fields.next().is_none().then_some(ticket)
    }

    /// Returns the ticket in its text form for callers.
    pub(super) fn text(&self) -> String {
        let mut text = format!(
            "t-{}-{:016x}-{:016x}-",
            self.issuer,
            self.nonce,
            self.expires_at.as_ms()
        );
        for byte in self.auth_code {
            write!(text, "{byte:02x}").expect("writing to a string succeeds");
        }
        text
    }
}

/// Parses exactly 16 hexadecimal digits.
pub(super) fn parse_hex_u64(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok())?
}

/// Parses exactly 32 hexadecimal digits.
fn parse_hex_u128(text: &str) -> Option<u128> {
    let digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    digits.then(|| u128::from_str_radix(text, 16).ok())?
}
