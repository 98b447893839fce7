//! Bearer tokens, stored as digests.

use auth::KeyDigest;
use auth::KeyTable;
use model::TeamId;
use serde::Deserialize;
use serde::Serialize;

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
    holders: KeyTable<Caller>,
}

impl Tokens {
    /// Creates the set from the tokens in the settings, which have been checked. A token that
    /// occurs twice belongs to its first holder.
    #[must_use]
    pub fn new(tokens: Vec<Token>) -> Tokens {
        let mut holders = KeyTable::default();
        for token in tokens {
            if let Some(key) = KeyDigest::from_hex(&token.sha256) {
                let caller = Caller {
                    team: token.team,
                    role: token.role,
                };
                holders.insert(key, caller);
            }
        }
        Tokens { holders }
    }

    /// Returns the holder of `token`; `None` if it is not in the settings.
    #[must_use]
    pub fn caller(&self, token: &str) -> Option<Caller> {
        let key = KeyDigest::of(token.as_bytes());
        self.holders.holder(key).cloned()
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
