//! Client networks: an address and the number of its leading bits that count.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::str::FromStr;

/// An IP network in CIDR notation. The bits beyond the prefix are zero. IPv4 and IPv6 networks are distinct.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Net {
    v6: bool,
    bits: u128,
    prefix_len: u8,
}

fn prefix_mask(prefix_len: u8) -> u128 {
    match prefix_len {
        0 => 0,
        1..=127 => u128::MAX << (128 - u32::from(prefix_len)),
        _ => u128::MAX,
    }
}

impl Net {
    /// The network of this prefix length that contains the address. A prefix length above the address's own number of
    /// bits gives the network of the address alone.
    pub fn new(address: IpAddr, prefix_len: u8) -> Net {
        let (v6, bits, max_len) = match address.to_canonical() {
            IpAddr::V4(v4) => (false, u128::from(v4.to_bits()) << 96, 32),
            IpAddr::V6(v6) => (true, v6.to_bits(), 128),
        };
        let prefix_len = prefix_len.min(max_len);
        Net { v6, bits: bits & prefix_mask(prefix_len), prefix_len }
    }

    /// The network that contains this address only.
    pub fn host(address: IpAddr) -> Net {
        Net::new(address, 128)
    }

    /// The number of leading bits that count.
    pub fn prefix_len(self) -> u8 {
        self.prefix_len
    }

    pub fn is_v6(self) -> bool {
        self.v6
    }

    /// The lowest address of the network.
    pub fn address(self) -> IpAddr {
        match self.v6 {
            true => Ipv6Addr::from_bits(self.bits).into(),
            false => Ipv4Addr::from_bits((self.bits >> 96) as u32).into(),
        }
    }

    /// The network with its prefix shortened to at most this length.
    pub fn truncated(self, prefix_len: u8) -> Net {
        let prefix_len = self.prefix_len.min(prefix_len);
        Net { bits: self.bits & prefix_mask(prefix_len), prefix_len, ..self }
    }

    /// Whether all of `other` lies within this network.
    pub fn contains(self, other: Net) -> bool {
        self.v6 == other.v6
            && self.prefix_len <= other.prefix_len
            && other.bits & prefix_mask(self.prefix_len) == self.bits
    }

    /// A hash of the network and a seed.
    pub(crate) fn seeded_hash(self, seed: u64) -> u64 {
        let (high, low) = ((self.bits >> 64) as u64, self.bits as u64);
        mix(mix(seed ^ high) ^ low ^ (u64::from(self.prefix_len) << 1 | u64::from(self.v6)))
    }
}

/// The finalizer of SplitMix64: a change of one input bit changes about half of the output bits.
pub(crate) fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

impl FromStr for Net {
    type Err = String;

    /// Parses `10.2.0.0/16`, or an address without a prefix length for that address alone. Bits set beyond the prefix
    /// length are an error, since they are most likely a typing mistake.
    fn from_str(text: &str) -> Result<Net, String> {
        let (address, prefix_len) = match text.split_once('/') {
            None => (text, None),
            Some((address, prefix_len)) => (
                address,
                Some(
                    prefix_len
                        .parse::<u8>()
                        .map_err(|_| format!("{text:?}: {prefix_len:?} is not a valid prefix length"))?,
                ),
            ),
        };
        let address: IpAddr =
            address.parse().map_err(|_| format!("{text:?}: {address:?} is not a valid IP address"))?;
        let max_len = if address.is_ipv4() { 32 } else { 128 };
        let prefix_len = prefix_len.unwrap_or(max_len);
        if prefix_len > max_len {
            return Err(format!("{text:?}: the prefix length exceeds the maximum of {max_len}"));
        }
        let net = Net::new(address, prefix_len);
        match net.address() == address {
            true => Ok(net),
            false => Err(format!("{text:?}: bits are set beyond the prefix length; did you mean {net}?")),
        }
    }
}

impl fmt::Display for Net {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.address(), self.prefix_len)
    }
}
