//! Paces of engines: the time from one event of a stream to the next.
//!
//! Engines of one service may differ in speed, and a stream with a short allowed pause is late on a
//! slow one whatever runs beside it. The owner of an engine estimates its pace from the gaps that
//! all gateways report, and publishes it as a [`Class`]. Gateways spread the classes with the loads
//! of engines and compare each to the typical one of its service, see [`Scale`]. An engine without
//! a class counts as typical.

use crate::time::Span;
use crate::time::Time;

/// Gap of the fastest class, in milliseconds.
const MIN_CLASS_MS: f64 = 4.0;
/// Number of classes in which the gap doubles.
const CLASSES_PER_DOUBLING: f64 = 4.0;
/// Greatest class, of gaps of 0.7 s; a class and its serial fit into one byte.
const MAX_CLASS: u8 = 31;
/// Bits of the serial in a [`Word`].
const SERIAL_BITS: u8 = 3;
/// Bit mask of the serial.
const SERIAL_MASK: u8 = (1 << SERIAL_BITS) - 1;
/// Number of changes from which the serials of two words do not tell which is later: half of all
/// serials.
const AMBIGUOUS_SERIALS_AHEAD: u8 = 4;
/// Time without confirmation after which any other word replaces the known one: a gateway that was
/// cut off may have missed more changes than serials tell apart.
const CONFIRMATION_TTL: Span = Span::secs(10);

/// Bounds of a valid mean gap, in milliseconds.
const MIN_GAP_MS: f64 = 1.0;
const MAX_GAP_MS: f64 = 5_000.0;
/// Upper bound on the gaps of one sample that count. One long report would else set the estimate.
const MAX_SAMPLE_GAPS: u16 = 50;
/// Half-life of an estimate's weight: a neighbour that slows an engine for half a second changes
/// the estimate little, a change of several seconds is followed.
const HALF_LIFE: Span = Span::secs(2);
/// Gaps of an estimate before it is published, and the weight below which it does not decay.
const MIN_GAPS: f64 = 20.0;
/// Upper bound on a sample's deviation from the estimate, in classes.
const MAX_DEVIATION: f64 = 3.0;
/// Deviation of the estimate from the published class, in classes, from which the class is changed.
/// At half a class, an engine between two classes would change with every burst.
const CHANGE_DEVIATION: f64 = 1.25;

/// Upper bound on the share of its time for which an engine is assumed to prefill. A queue of
/// prompts would else make any engine look fast, and engines would move in and out of the pool with
/// the prompts. At this bound an engine of the pool, which prefills less, tends to stay there.
const MAX_PREFILL_SHARE: f64 = 0.5;

/// Duration of a stream's gaps after which they are reported before the stream ends.
const SAMPLE_INTERVAL: Span = Span::millis(500);

/// Mean gap from which a stream's pauses may be too long, as a share of the allowed pause. Single
/// gaps are up to three times as long as the mean one.
const MIN_LATE_GAP_RATIO: f64 = 0.3;

/// Classes on each side of the typical one that count as equal to it; those further away differ by
/// more than a class.
const CLASSES_PER_BUCKET: i16 = 3;

/// Weight that earlier samples of a [`Batch`] keep when one is added.
const BATCH_DECAY: f64 = 0.995;
/// Samples of a batch below which loads are assumed to make no difference.
const MIN_BATCH_SAMPLES: f64 = 30.0;
/// Upper bound on the classes by which one more call slows an engine. Full engines also prefill more,
/// which would else count twice.
const MAX_CALL_CLASSES: f64 = 0.2;
/// Upper bound on the classes by which all calls of an engine slow it.
const MAX_BATCH_CLASSES: f64 = 3.0;

/// Weight of the newest call in a [`Bias`].
const BIAS_WEIGHT: f64 = 0.02;
/// Bounds of a difference between a call's actual and expected wait, in milliseconds.
const MAX_DIFFERENCE_MS: f64 = 1_000.0;
/// Upper bound on a bias, in milliseconds: a fault of the estimate must not empty a side for good.
const MAX_BIAS_MS: f64 = 300.0;

/// Position of a gap of `ms` milliseconds on the scale of the classes.
fn position(ms: f64) -> f64 {
    1.0 + CLASSES_PER_DOUBLING * (ms.max(MIN_CLASS_MS) / MIN_CLASS_MS).log2()
}

/// Pace of an engine without other calls and prompts, in steps of a quarter of a power of two; the least is the
/// fastest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub struct Class(u8);

impl Class {
    /// The class of engines with gaps of `ms` milliseconds.
    pub fn of_gap(ms: f64) -> Class {
        Class::at(position(ms))
    }

    fn at(position: f64) -> Class {
        Class((position.round() as u8).clamp(1, MAX_CLASS))
    }

    /// Gap of this class, in milliseconds.
    pub fn gap_ms(self) -> f64 {
        MIN_CLASS_MS * 2.0_f64.powf((f64::from(self.0) - 1.0) / CLASSES_PER_DOUBLING)
    }
}

/// A class with the number of its change, modulo eight, as gateways pass it on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Word(u8);

impl Word {
    /// The word of a byte that another gateway sent; any byte is one.
    pub fn from_byte(byte: u8) -> Word {
        Word(byte)
    }

    /// The byte to send; zero for an unknown class.
    pub fn byte(self) -> u8 {
        self.0
    }

    /// The class; `None` if it is unknown.
    pub fn class(self) -> Option<Class> {
        let class = self.0 >> SERIAL_BITS;
        (class > 0).then_some(Class(class))
    }

    fn serial(self) -> u8 {
        self.0 & SERIAL_MASK
    }

    fn next(self, class: Class) -> Word {
        Word((class.0 << SERIAL_BITS) | (self.serial().wrapping_add(1) & SERIAL_MASK))
    }

    /// Whether this word is later than `known`. Of two words whose serials do not tell, the greater
    /// class prevails at all gateways: two owners published the same serial at once, or gateways
    /// were cut off together for half of all serials and confirm their old word to one another.
    fn is_later(self, known: Word) -> bool {
        match self.serial().wrapping_sub(known.serial()) & SERIAL_MASK {
            0 | AMBIGUOUS_SERIALS_AHEAD => self.0 > known.0,
            ahead => ahead < AMBIGUOUS_SERIALS_AHEAD,
        }
    }
}

/// Newest known class of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Known {
    word: Word,
    confirmed: Time,
}

impl Known {
    /// The word to pass on.
    pub fn word(&self) -> Word {
        self.word
    }

    /// The class; `None` if it is unknown.
    pub fn class(&self) -> Option<Class> {
        self.word.class()
    }

    /// Merges a word from another gateway.
    pub fn receive(&mut self, now: Time, word: Word) {
        if word.class().is_none() {
            return;
        }
        let is_expired = now.since(self.confirmed) > CONFIRMATION_TTL;
        if self.class().is_none() || word.is_later(self.word) || is_expired {
            self.word = word;
        }
        if word == self.word {
            self.confirmed = now;
        }
    }

    /// Publishes a class, as the owner of the engine; returns whether it is a change.
    pub fn publish(&mut self, now: Time, class: Class) -> bool {
        self.confirmed = now;
        let changes = self.class() != Some(class);
        if changes {
            self.word = self.word.next(class);
        }
        changes
    }
}

/// Estimate of an engine's pace by its owner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// Position on the scale of the classes.
    position: f64,
    /// Decayed number of gaps.
    gaps: f64,
    recorded: Time,
}

impl Estimate {
    /// Records the mean of some gaps, in milliseconds; does nothing if it is out of bounds.
    pub fn record(&mut self, now: Time, gaps: u16, mean_ms: f64) {
        if gaps == 0 || !(MIN_GAP_MS..=MAX_GAP_MS).contains(&mean_ms) {
            return;
        }
        let elapsed = now.since(std::mem::replace(&mut self.recorded, now));
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        let least = (MIN_GAPS / self.gaps.max(MIN_GAPS)).min(1.0);
        self.gaps *= factor.max(least);
        let gaps = f64::from(gaps.min(MAX_SAMPLE_GAPS));
        let deviation = position(mean_ms) - self.position;
        let deviation = match self.gaps >= MIN_GAPS {
            true => deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION),
            false => deviation,
        };
        self.gaps += gaps;
        self.position += deviation * gaps / self.gaps;
    }

    /// The class to publish if `known` is published; `None` before enough gaps.
    pub fn class(&self, known: Option<Class>) -> Option<Class> {
        if self.gaps < MIN_GAPS {
            return None;
        }
        let stays = |known: &Class| (self.position - f64::from(known.0)).abs() < CHANGE_DEVIATION;
        Some(known.filter(stays).unwrap_or(Class::at(self.position)))
    }
}

/// Share of an engine's time that goes to prefill. Engines outside the isolated pool prefill more
/// than those in it, and would else count as slower.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prefill {
    /// Decayed sum of prefill times, in milliseconds.
    ms: f64,
    recorded: Time,
}

impl Prefill {
    fn ms(&self, now: Time) -> f64 {
        let elapsed = now.since(self.recorded);
        self.ms * 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Records a prompt with its expected prefill time, in milliseconds.
    pub fn record(&mut self, now: Time, prefill_ms: f64) {
        self.ms = self.ms(now) + prefill_ms;
        self.recorded = now;
    }

    /// Share of the time that goes to prefill, at most `MAX_PREFILL_SHARE`.
    pub fn share(&self, now: Time) -> f64 {
        let time_ms = HALF_LIFE.as_secs_f64() * 1e3 / std::f64::consts::LN_2;
        (self.ms(now) / time_ms).clamp(0.0, MAX_PREFILL_SHARE)
    }
}

/// Gaps of one stream since its last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sample {
    gaps: u16,
    sum: Span,
}

impl Sample {
    /// Counts a gap; returns the sample if it is to be reported.
    pub fn record(&mut self, gap: Span) -> Option<Sample> {
        self.gaps = self.gaps.saturating_add(1);
        self.sum = Span(self.sum.0.saturating_add(gap.0));
        if self.sum >= SAMPLE_INTERVAL { self.take() } else { None }
    }

    /// Takes the gaps that were not reported yet.
    pub fn take(&mut self) -> Option<Sample> {
        let taken = std::mem::take(self);
        (taken.gaps > 0).then_some(taken)
    }

    /// Number of gaps.
    pub fn gaps(&self) -> u16 {
        self.gaps
    }

    /// Mean gap, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.sum.as_secs_f64() * 1e3 / f64::from(self.gaps.max(1))
    }
}

/// Least-squares estimate of the classes by which each call at an engine slows the others. Engines
/// of the isolated pool have more calls than others, and would else count as slower.
#[derive(Clone, Copy, Debug, Default)]
pub struct Batch {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Batch {
    /// Records the mean gap of a stream at an engine of a known class with `calls` calls.
    pub fn record(&mut self, calls: f64, class: Class, mean_ms: f64) {
        if !(MIN_GAP_MS..=MAX_GAP_MS).contains(&mean_ms) || !calls.is_finite() {
            return;
        }
        let deviation = position(mean_ms) - f64::from(class.0);
        let deviation = deviation.clamp(-MAX_BATCH_CLASSES, MAX_BATCH_CLASSES);
        for sum in [&mut self.n, &mut self.x, &mut self.y, &mut self.xx, &mut self.xy] {
            *sum *= BATCH_DECAY;
        }
        self.n += 1.0;
        self.x += calls;
        self.y += deviation;
        self.xx += calls * calls;
        self.xy += calls * deviation;
    }

    /// Ratio of gaps at an engine with `calls` calls to those at an engine without others.
    pub fn ratio(&self, calls: f64) -> f64 {
        let spread = self.n * self.xx - self.x * self.x;
        if self.n < MIN_BATCH_SAMPLES || spread <= self.n {
            return 1.0;
        }
        let slope = (self.n * self.xy - self.x * self.y) / spread;
        let classes = slope.clamp(0.0, MAX_CALL_CLASSES) * calls.max(0.0);
        2.0_f64.powf(classes.min(MAX_BATCH_CLASSES) / CLASSES_PER_DOUBLING)
    }
}

/// Mean of actual less expected times to first event on one side of the isolated pool's boundary.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bias {
    ms: f64,
}

impl Bias {
    /// Records a call's actual and expected time to first event, in milliseconds.
    pub fn record(&mut self, actual_ms: f64, expected_ms: f64) {
        let difference = actual_ms - expected_ms;
        if difference.is_finite() {
            let difference = difference.clamp(-MAX_DIFFERENCE_MS, MAX_DIFFERENCE_MS);
            self.ms += BIAS_WEIGHT * (difference - self.ms);
        }
    }

    /// Milliseconds to add to an expected time.
    pub fn ms(&self) -> f64 {
        self.ms.clamp(0.0, MAX_BIAS_MS)
    }
}

/// Comparison of the engines of one service by their classes.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// The median class; `None` if no class is known.
    typical: Option<Class>,
    /// Whether some engine differs from the typical one by more than a class.
    varies: bool,
}

impl Scale {
    /// The scale of engines with these classes.
    pub fn of(classes: impl IntoIterator<Item = Class>) -> Scale {
        let mut counts = [0_usize; MAX_CLASS as usize + 1];
        classes.into_iter().for_each(|class| counts[usize::from(class.0)] += 1);
        let all: usize = counts.iter().sum();
        let mut below = 0;
        let median = counts.iter().position(|count| {
            below += count;
            2 * below >= all.max(1)
        });
        let typical = median.map(|class| Class(class as u8));
        let scale = Scale { typical, varies: false };
        let present = counts.iter().enumerate().filter(|(_, count)| **count > 0);
        let mut classes = present.map(|(class, _)| Class(class as u8));
        Scale { varies: classes.any(|class| scale.bucket(Some(class)) != 0), ..scale }
    }

    /// Whether some engine differs from the typical one by more than a class.
    pub fn varies(&self) -> bool {
        self.varies
    }

    /// Group of classes that are treated as equal; zero for the typical one and those next to it,
    /// less for faster ones.
    pub fn bucket(&self, class: Option<Class>) -> i16 {
        let (Some(class), Some(typical)) = (class, self.typical) else {
            return 0;
        };
        let difference = i16::from(class.0) - i16::from(typical.0);
        (difference + CLASSES_PER_BUCKET / 2).div_euclid(CLASSES_PER_BUCKET)
    }

    /// Ratio of an engine's gaps to typical ones; 1 for an engine that differs by at most a class.
    pub fn ratio(&self, class: Option<Class>) -> f64 {
        match (class, self.typical) {
            (Some(class), Some(typical)) if self.bucket(Some(class)) != 0 => {
                class.gap_ms() / typical.gap_ms()
            }
            _ => 1.0,
        }
    }

    /// Gap of a class in milliseconds, or the typical one of an engine without a class; `None` if
    /// no class is known.
    pub fn gap_ms(&self, class: Option<Class>) -> Option<f64> {
        class.or(self.typical).map(Class::gap_ms)
    }
}

/// Expected share of streams that are late by their pauses, from 0 to 1, at an engine with mean
/// gaps of `gap_ms`. A pause of zero means no limit.
pub fn late_share(gap_ms: f64, pause: Span) -> f64 {
    if pause.0 == 0 {
        return 0.0;
    }
    let ratio = gap_ms / (pause.as_secs_f64() * 1e3);
    ((ratio - MIN_LATE_GAP_RATIO) / (1.0 - MIN_LATE_GAP_RATIO)).clamp(0.0, 1.0)
}
