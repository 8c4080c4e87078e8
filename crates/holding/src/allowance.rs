use std::collections::VecDeque;

const PARTS: u64 = 20;

/// Keeps retries below a share of first tries in a sliding window, plus a small floor.
#[derive(Debug, Default)]
pub struct Allowance {
    parts: VecDeque<(u64, u32, u32)>,
}

impl Allowance {
    fn part(&mut self, now: u64, window: u64) -> &mut (u64, u32, u32) {
        let number = now * PARTS / window.max(PARTS);
        while self
            .parts
            .front()
            .is_some_and(|(first, ..)| first + PARTS < number)
        {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|(last, ..)| *last != number) {
            self.parts.push_back((number, 0, 0));
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }

    /// Counts a first try.
    pub fn first(&mut self, now: u64, window: u64) {
        self.part(now, window).1 += 1;
    }

    /// Takes one retry where the share and floor leave room for it.
    pub fn take(&mut self, now: u64, window: u64, share: f64, floor: f64) -> bool {
        self.part(now, window);
        let firsts: u32 = self.parts.iter().map(|part| part.1).sum();
        let retries: u32 = self.parts.iter().map(|part| part.2).sum();
        if f64::from(retries + 1) > share * f64::from(firsts) + floor {
            return false;
        }
        self.part(now, window).2 += 1;
        true
    }
}
