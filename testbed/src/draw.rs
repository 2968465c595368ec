//! Random figures that are the same on every machine: hashed integers, and logarithms from `libm` and not from the
//! system's library, whose last bits differ from one release to the next.

use serde::de::{self, Deserialize, Deserializer, SeqAccess, Visitor};
use std::fmt;

/// One stream of draws, or a point to hash from. SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom
/// number generators", OOPSLA 2014): small, and any draw can be named without those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seed(pub u64);

impl Seed {
    /// A stream of its own for a purpose or a thing.
    pub fn fork(self, place: u64) -> Seed {
        let mut seed = Seed(self.0 ^ place.wrapping_mul(0xd6e8_feb8_6659_fd93));
        Seed(seed.bits())
    }

    /// The next 64 bits.
    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Uniform from 0 up to but without 1.
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Uniform below `n`; 0 where `n` is 0.
    pub fn below(&mut self, n: usize) -> usize {
        ((u128::from(self.bits()) * n as u128) >> 64) as usize
    }

    /// Exponential with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * libm::log(1.0 - self.unit())
    }

    /// Log-normal with this mean and coefficient of variation.
    pub fn lognormal(&mut self, mean: f64, cv: f64) -> f64 {
        let spread = libm::log(1.0 + cv * cv);
        let radius = libm::sqrt(-2.0 * libm::log(1.0 - self.unit()));
        let normal = radius * libm::cos(std::f64::consts::TAU * self.unit());
        mean * libm::exp(libm::sqrt(spread) * normal - spread / 2.0)
    }

    /// `n` of the places `0..of`, ascending.
    pub fn some(&mut self, n: usize, of: usize) -> Vec<usize> {
        let mut places: Vec<usize> = (0..of).collect();
        for i in 0..n.min(of) {
            let other = i + self.below(of - i);
            places.swap(i, other);
        }
        places.truncate(n);
        places.sort_unstable();
        places
    }
}

/// A figure, or the range that it is drawn from: `3.5` or `[2, 5]`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Range {
    /// The least.
    pub low: f64,
    /// The most.
    pub high: f64,
}

impl Range {
    /// Always this.
    pub const fn at(value: f64) -> Self {
        Range { low: value, high: value }
    }

    /// Between these.
    pub const fn of(low: f64, high: f64) -> Self {
        Range { low, high }
    }

    /// One figure out of it.
    pub fn draw(&self, seed: &mut Seed) -> f64 {
        self.low + (self.high - self.low) * seed.unit()
    }

    /// Its middle.
    pub fn middle(&self) -> f64 {
        (self.low + self.high) / 2.0
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.low == self.high {
            write!(f, "{}", self.low)
        } else {
            write!(f, "[{}, {}]", self.low, self.high)
        }
    }
}

impl<'de> Deserialize<'de> for Range {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Form;
        impl<'de> Visitor<'de> for Form {
            type Value = Range;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a number, or a range [least, most]")
            }
            fn visit_f64<E: de::Error>(self, value: f64) -> Result<Range, E> {
                if value.is_finite() {
                    Ok(Range::at(value))
                } else {
                    Err(E::custom(format!("{value} is not finite")))
                }
            }
            fn visit_i64<E: de::Error>(self, value: i64) -> Result<Range, E> {
                self.visit_f64(value as f64)
            }
            fn visit_u64<E: de::Error>(self, value: u64) -> Result<Range, E> {
                self.visit_f64(value as f64)
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<Range, A::Error> {
                let low: f64 = parts.next_element()?.ok_or_else(|| de::Error::invalid_length(0, &self))?;
                let high: f64 = parts.next_element()?.ok_or_else(|| de::Error::invalid_length(1, &self))?;
                if parts.next_element::<f64>()?.is_some() {
                    return Err(de::Error::invalid_length(3, &self));
                }
                if !(low.is_finite() && high.is_finite() && low <= high) {
                    return Err(de::Error::custom(format!("[{low}, {high}] is no range from least to most")));
                }
                Ok(Range { low, high })
            }
        }
        deserializer.deserialize_any(Form)
    }
}

#[cfg(test)]
mod tests;
