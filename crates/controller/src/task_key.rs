//! The key of a task in a leader's state.

use std::rc::Rc;

/// A task: the id of its job and its index within the job. In messages to and from workers,
/// [`TaskName`](dillcleat_wire::TaskName) has the same content with an owned job id.
pub type TaskKey = (Rc<str>, u32);
