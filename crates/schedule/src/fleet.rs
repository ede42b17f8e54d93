//! Which VMs are maintained or moved to another pool, and when.
