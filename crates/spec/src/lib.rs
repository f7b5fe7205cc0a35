//! Small specifications of the core protocols and their search.
