//! Processor time, live memory, slopes and tables.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Allocator that counts live bytes.
pub struct Counting;

static LIVE: AtomicUsize = AtomicUsize::new(0);

// Safety: all is passed on to the system's allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE.fetch_add(layout.size(), Ordering::Relaxed);
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, place: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size(), Ordering::Relaxed);
        System.dealloc(place, layout);
    }
}

/// Bytes that are allocated now.
pub fn live() -> usize {
    LIVE.load(Ordering::Relaxed)
}

/// Processor time of this thread, in nanoseconds.
pub fn cpu_ns() -> u64 {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // Safety: the structure is ours and lives through the call.
    unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &mut time) };
    time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
}

/// Does something and adds the processor time that it took, in nanoseconds.
pub fn timed<T>(sum: &mut u64, work: impl FnOnce() -> T) -> T {
    let before = cpu_ns();
    let result = work();
    *sum += cpu_ns() - before;
    result
}

/// Processor time of one of many runs of the same work: the middle of five rounds, in nanoseconds.
pub fn median_ns(times: u32, mut work: impl FnMut()) -> f64 {
    let mut rounds: Vec<f64> = (0..5)
        .map(|_| {
            let mut sum = 0;
            timed(&mut sum, || (0..times).for_each(|_| work()));
            sum as f64 / f64::from(times)
        })
        .collect();
    rounds.sort_by(f64::total_cmp);
    rounds[2]
}

/// The line `offset + slope x` that is nearest to the points by least squares, relative to their size.
pub fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let weight = |y: f64| 1.0 / y.abs().max(1e-12).powi(2);
    let sum = |of: &dyn Fn(f64, f64) -> f64| -> f64 {
        points.iter().map(|(x, y)| weight(*y) * of(*x, *y)).sum()
    };
    let (all, xs, ys) = (sum(&|_, _| 1.0), sum(&|x, _| x), sum(&|_, y| y));
    let (squares, products) = (sum(&|x, _| x * x), sum(&|x, y| x * y));
    let width = all * squares - xs * xs;
    if width.abs() < 1e-9 * all * squares {
        return (ys / all, 0.0);
    }
    let slope = (all * products - xs * ys) / width;
    ((ys - slope * xs) / all, slope)
}

/// A table in Markdown.
pub struct Markdown;

impl Markdown {
    /// Prints the head.
    pub fn head(title: &str, columns: &[&str]) -> Self {
        println!("\n### {title}\n\n| {} |", columns.join(" | "));
        println!("|{}", "---|".repeat(columns.len()));
        Self
    }

    /// Prints a row.
    pub fn row(&self, cells: &[f64]) {
        let cells: Vec<String> = cells.iter().map(|cell| figure(*cell)).collect();
        println!("| {} |", cells.join(" | "));
    }

    /// Prints a row with a name.
    pub fn named(&self, name: &str, cells: &[f64]) {
        let cells: Vec<String> = cells.iter().map(|cell| figure(*cell)).collect();
        println!("| {name} | {} |", cells.join(" | "));
    }
}

/// Three digits that count.
pub fn figure(number: f64) -> String {
    let size = number.abs();
    if size >= 100.0 || number == number.trunc() {
        format!("{number:.0}")
    } else if size >= 10.0 {
        format!("{number:.1}")
    } else if size >= 1.0 {
        format!("{number:.2}")
    } else {
        format!("{number:.4}")
    }
}

/// Prints a fitted slope.
pub fn print_fit(what: &str, per: &str, points: &[(f64, f64)]) {
    let (offset, slope) = fit(points);
    println!(
        "\nfit: {what} = {} + {} x {per}",
        figure(offset),
        if slope.abs() < 0.01 {
            format!("{slope:.3e}")
        } else {
            figure(slope)
        }
    );
}
