//! Bearer tokens, stored as hashes and compared in constant time.

use model::TeamId;
use model::digest;
use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq;

/// Permissions of the holder of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// May submit, read and cancel requests of its own team.
    Caller,
    /// May also patch the configuration and read the state of the whole cell.
    Operator,
}

/// A token, as configured in the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// Hexadecimal SHA-256 of the token.
    pub sha256: String,
    /// Role of the token's holder.
    pub role: Role,
    /// Team of the token's holder.
    pub team: TeamId,
}

/// The authenticated sender of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Team of the caller.
    pub team: TeamId,
    /// Role of the caller.
    pub role: Role,
}

/// All tokens that a process accepts.
#[derive(Clone, Debug)]
pub struct Tokens {
    tokens: Vec<Token>,
}

impl Tokens {
    /// Creates the set from the tokens in the settings.
    #[must_use]
    pub fn new(tokens: Vec<Token>) -> Tokens {
        Tokens { tokens }
    }

    /// Returns the holder of `token`; `None` if it is not in the settings.
    /// Compares all hashes, each in constant time, so that the duration reveals
    /// nothing about them.
    #[must_use]
    pub fn caller(&self, token: &str) -> Option<Caller> {
        let hash = digest(token);
        let mut found = None;
        for configured in &self.tokens {
            let same = configured.sha256.as_bytes().ct_eq(hash.as_bytes());
            if bool::from(same) {
                found = Some(configured);
            }
        }
        found.map(|configured| Caller {
            team: configured.team.clone(),
            role: configured.role,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::Role;
    use super::Token;
    use super::Tokens;
    use model::digest;

    #[test]
    fn only_a_configured_token_identifies_a_caller() {
        let tokens = Tokens::new(vec![Token {
            sha256: digest("secret"),
            role: Role::Caller,
            team: "stores".to_owned(),
        }]);

        assert!(tokens.caller("secret").is_some_and(|c| c.team == "stores"));
        assert!(tokens.caller("Secret").is_none());
    }
}
