//! The key of a task in a leader's state.

use std::rc::Rc;

/// A task: the id of its job and its index within the job.
pub type TaskKey = (Rc<str>, u32);
