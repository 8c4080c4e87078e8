/// Kalman filter over a function's rate, with the state carried over unchanged (A = H = 1).
#[derive(Clone, Debug)]
pub struct Forecast {
    rate: f64,
    variance: f64,
    process_noise: f64,
    measure_noise: f64,
}

impl Default for Forecast {
    fn default() -> Self {
        Self {
            rate: 0.0,
            variance: 1.0,
            process_noise: 4.0,
            measure_noise: 2.0,
        }
    }
}

impl Forecast {
    /// Takes a measured rate and gives the next one.
    pub fn observe(&mut self, measured: f64) -> f64 {
        let predicted = self.rate;
        // A rush has more spread than calm traffic, so the noise grows with the rate itself.
        let variance = self.variance + self.process_noise + 0.1 * predicted;
        let gain = variance / (variance + self.measure_noise + 0.1 * measured);
        self.rate = (predicted + gain * (measured - predicted)).max(0.0);
        self.variance = (1.0 - gain) * variance;
        self.rate
    }

    /// The rate that was forecast last.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}
