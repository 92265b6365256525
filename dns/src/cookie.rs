//! Server cookies that several servers make alike (RFC 9018), and the secret they are made with, which is changed
//! while running: those made with the one before hold until they are too old by themselves.

use std::hash::Hasher;
use std::net::IpAddr;

use siphasher::sip::SipHasher24;

/// Ages in seconds (RFC 9018, section 4.3): older or further ahead is none of ours; past half an hour there is a new one.
const OLDEST: i64 = 3600;
const AHEAD: i64 = 300;
const RENEW: i64 = 1800;

/// Sixteen bytes that nobody else knows.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret([u8; 16]);

impl Secret {
    pub fn new(bytes: [u8; 16]) -> Secret {
        Secret(bytes)
    }

    /// 32 hex digits, as other servers write it.
    pub fn parse(text: &str) -> Option<Secret> {
        let bytes = data_encoding::HEXLOWER_PERMISSIVE.decode(text.trim().as_bytes()).ok()?;
        Some(Secret(bytes.try_into().ok()?))
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The secret in use and, for a while, the one before or the one to come: servers that share cookies are not
/// all changed at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Secrets {
    current: Secret,
    other: Option<Secret>,
}

/// What a server cookie is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is ours, of this client and recent.
    Valid,
    Invalid,
}

impl Secrets {
    pub fn new(current: Secret, other: Option<Secret>) -> Secrets {
        Secrets { current, other }
    }

    /// A new secret from here on; cookies of the last one stay valid.
    pub fn roll(&self, next: Secret) -> Secrets {
        Secrets { current: next, other: Some(self.current.clone()) }
    }

    /// The cookie for an answer, client's part and ours. An old one of ours is given back while it is young.
    pub fn make(&self, client: [u8; 8], address: IpAddr, now_s: u32) -> [u8; 24] {
        let mut whole = [0; 24];
        whole[..8].copy_from_slice(&client);
        whole[8] = 1;
        whole[12..16].copy_from_slice(&now_s.to_be_bytes());
        let hash = hash(&self.current, &whole[..16], address);
        whole[16..].copy_from_slice(&hash);
        whole
    }

    /// Checks a server cookie; the cookie to answer with comes along.
    pub fn judge(
        &self,
        client: [u8; 8],
        server: Option<&[u8]>,
        address: IpAddr,
        now_s: u32,
    ) -> (Standing, [u8; 24]) {
        let fresh = || self.make(client, address, now_s);
        let Some(Ok(server)) = server.map(<[u8; 16]>::try_from) else { return (Standing::Invalid, fresh()) };
        let mut whole = [0; 24];
        whole[..8].copy_from_slice(&client);
        whole[8..].copy_from_slice(&server);
        // Serial arithmetic (RFC 9018, section 4.3): the clock of the cookie wraps.
        let made = u32::from_be_bytes([server[4], server[5], server[6], server[7]]);
        let age = i64::from(now_s.wrapping_sub(made) as i32);
        if server[0] != 1 || !(-AHEAD..=OLDEST).contains(&age) {
            return (Standing::Invalid, fresh());
        }
        let by = |secret: &Secret| same(&hash(secret, &whole[..16], address), &whole[16..]);
        if by(&self.current) {
            return (Standing::Valid, if age > RENEW { fresh() } else { whole });
        }
        match self.other.as_ref().is_some_and(by) {
            true => (Standing::Valid, fresh()),
            false => (Standing::Invalid, fresh()),
        }
    }
}

/// RFC 9018, section 4.4: SipHash-2-4 over client cookie, version, reserved bytes, time and address.
fn hash(secret: &Secret, head: &[u8], address: IpAddr) -> [u8; 8] {
    let mut hasher = SipHasher24::new_with_key(&secret.0);
    hasher.write(head);
    match address.to_canonical() {
        IpAddr::V4(v4) => hasher.write(&v4.octets()),
        IpAddr::V6(v6) => hasher.write(&v6.octets()),
    }
    hasher.finish().to_le_bytes()
}

/// Takes as long for a near miss as for any other.
fn same(one: &[u8], other: &[u8]) -> bool {
    one.len() == other.len() && one.iter().zip(other).fold(0, |all, (a, b)| all | (a ^ b)) == 0
}

#[cfg(test)]
mod tests {
    use super::*;

    fn hex(text: &str) -> Vec<u8> {
        data_encoding::HEXLOWER.decode(text.as_bytes()).unwrap()
    }

    /// The test vectors of RFC 9018, appendix A.
    #[test]
    fn interoperable() {
        let secret = Secret::parse("e5e973e5a6b2a43f48e7dc849e37bfcf").unwrap();
        let secrets = Secrets::new(secret, None);
        let client: [u8; 8] = hex("2464c4abcf10c957").try_into().unwrap();
        let address = "198.51.100.100".parse().unwrap();
        // A.1: a new one is made at 1559731985.
        assert_eq!(
            secrets.make(client, address, 1_559_731_985)[..],
            hex("2464c4abcf10c957010000005cf79f111f8130c3eee29480")
        );
        // A.2: the same client a while later gets a renewed one.
        let old = hex("010000005cf79f111f8130c3eee29480");
        let (standing, cookie) = secrets.judge(client, Some(&old), address, 1_559_734_385);
        assert_eq!(standing, Standing::Valid);
        assert_eq!(cookie[..], hex("2464c4abcf10c957010000005cf7a871d4a564a1442aca77"));
        // A.3: reserved bits are no matter.
        let secrets = Secrets::new(Secret::parse("e5e973e5a6b2a43f48e7dc849e37bfcf").unwrap(), None);
        let client: [u8; 8] = hex("fc93fc62807ddb86").try_into().unwrap();
        let server = hex("01abcdef5cf78f71a314227b6679ebf5");
        let address = "203.0.113.203".parse().unwrap();
        assert_eq!(secrets.judge(client, Some(&server), address, 1_559_727_985).0, Standing::Valid);
        // A.4: IPv6, and a secret that was rolled over.
        let secrets = Secrets::new(
            Secret::parse("445536bcd2513298075a5d379663c962").unwrap(),
            Secret::parse("dd3bdf9344b678b185a6f5cb60fca715"),
        );
        let client: [u8; 8] = hex("22681ab97d52c298").try_into().unwrap();
        let server = hex("010000005cf7c57926556bd0934c72f8");
        let address = "2001:db8:220:1:59de:d0f4:8769:82b8".parse().unwrap();
        let (standing, cookie) = secrets.judge(client, Some(&server), address, 1_559_741_961);
        assert_eq!(standing, Standing::Valid);
        assert_eq!(cookie[..], hex("22681ab97d52c298010000005cf7c609a6bb79d16625507a"));
    }

    /// Not another client's, not one from too far back or ahead, not one of a secret two changes ago.
    #[test]
    fn what_is_not_ours() {
        let secrets = Secrets::new(Secret::new([1; 16]), None);
        let (here, there) = ("127.0.0.1".parse().unwrap(), "127.0.0.2".parse().unwrap());
        let made = secrets.make([7; 8], here, 10_000);
        let judge = |s: &Secrets, client, at, now| s.judge(client, Some(&made[8..]), at, now).0;
        assert_eq!(judge(&secrets, [7; 8], here, 13_600), Standing::Valid);
        assert_eq!(judge(&secrets, [7; 8], here, 13_601), Standing::Invalid);
        assert_eq!(judge(&secrets, [7; 8], here, 9_699), Standing::Invalid);
        assert_eq!(judge(&secrets, [7; 8], there, 10_000), Standing::Invalid);
        assert_eq!(judge(&secrets, [8; 8], here, 10_000), Standing::Invalid);
        let once = secrets.roll(Secret::new([2; 16]));
        assert_eq!(judge(&once, [7; 8], here, 10_001), Standing::Valid);
        assert_eq!(judge(&once.roll(Secret::new([3; 16])), [7; 8], here, 10_001), Standing::Invalid);
    }
}
