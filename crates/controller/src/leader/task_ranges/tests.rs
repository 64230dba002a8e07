//! Tests of the division of tasks among records.

use super::*;

/// For random divisions and stored parts: each task is written to exactly one record, and
/// the parts of a chunk cover it without overlap.
#[test]
fn parts_cover_a_chunk_without_overlap() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..300 {
        let tasks = rng.u32(1..300);
        let mut ranges = TaskRanges::new(tasks, rng.u32(1..120), rng.u32(1..40));
        let chunk = rng.u32(..tasks) / ranges.tasks_per_chunk;
        // Some parts were written earlier with another part size.
        let other = rng.u32(1..40);
        let all = ranges.chunk_indexes(chunk);
        for from in all.clone().step_by(other as usize) {
            if rng.u8(..3) == 0 {
                let to = (from + other).min(all.end) - 1;
                ranges.set_version(TaskRange::Part { chunk, from, to }, 1);
            }
        }
        // A chunk with a stored part counts as split.
        let stored = !ranges.stored_ranges().is_empty();
        assert_eq!(ranges.is_split(chunk), stored);
        assert!(!stored || ranges.range_of(all.start) != TaskRange::Chunk(chunk));
        let parts = ranges.split(chunk);
        let covered: Vec<u32> = parts.iter().flat_map(|p| ranges.indexes(*p)).collect();
        assert_eq!(covered, all.clone().collect::<Vec<u32>>());
        for part in &parts {
            assert!(
                ranges
                    .indexes(*part)
                    .all(|task| ranges.range_of(task) == *part)
            );
            ranges.set_version(*part, 2);
        }
        // Storing the parts does not change them.
        assert!(
            all.clone()
                .all(|task| parts.contains(&ranges.range_of(task)))
        );
        assert_eq!(ranges.stored_ranges(), parts);
        assert!((0..tasks).all(|t| all.contains(&t)
            || ranges.range_of(t) == TaskRange::Chunk(t / ranges.tasks_per_chunk)));
    }
}
