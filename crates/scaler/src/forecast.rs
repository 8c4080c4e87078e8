/// Kalman filter over a function's request rate. State transition and observation are the identity (A = H = 1).
#[derive(Clone, Debug)]
pub struct Forecast {
    rate: f64,
    variance: f64,
    process_noise: f64,
    measurement_noise: f64,
}

impl Default for Forecast {
    fn default() -> Self {
        Self {
            rate: 0.0,
            variance: 1.0,
            process_noise: 4.0,
            measurement_noise: 2.0,
        }
    }
}

impl Forecast {
    /// Updates the filter with a measured rate and returns the new forecast.
    pub fn observe(&mut self, measured: f64) -> f64 {
        let predicted = self.rate;
        // The variance of traffic grows with its rate, so both noise terms do as well.
        let variance = self.variance + self.process_noise + 0.1 * predicted;
        let gain = variance / (variance + self.measurement_noise + 0.1 * measured);
        self.rate = (predicted + gain * (measured - predicted)).max(0.0);
        self.variance = (1.0 - gain) * variance;
        self.rate
    }

    /// The latest forecast.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}
