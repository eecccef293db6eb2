//! Decision logic for requests that are forwarded to upstreams unchanged.
//!
//! Each module covers one decision. Functions take the current time and the known state as
//! arguments, perform no I/O, and return the action to take.

pub mod admission;
pub mod agreed_windows;
pub mod awaited_response;
pub mod brittle_pools;
pub mod byte_budget;
pub mod caller_wait;
pub mod capacity;
pub mod catalog;
pub mod clock;
pub mod config_row;
pub mod deadline;
pub mod demand;
pub mod descriptor_shares;
pub mod even_load;
pub mod event_order;
pub mod events;
pub mod freshness;
pub mod leader;
pub mod limit_queue;
pub mod list_delta;
pub mod load_view;
pub mod log_bounds;
pub mod member_list;
pub mod members;
pub mod node_groups;
pub mod origin_query;
pub mod outcome;
pub mod part_exchange;
pub mod placement;
pub mod pool_room;
pub mod pool_speed;
pub mod prompt_cache;
pub mod quota;
pub mod quota_reach;
pub mod retry_budget;
pub mod rollout;
pub mod route_durations;
pub mod stop_schedule;
pub mod store_eras;
pub mod store_readers;
pub mod stream_origins;
pub mod suspects;
pub mod tunnel_nodes;
pub mod upstream_limit;
pub mod upstream_list;
pub mod upstream_paths;
pub mod upstream_slots;
pub mod upstream_speed;
pub mod upstream_state;
pub mod upstreams;
pub mod usage;
pub mod version_history;
pub mod wait_estimate;
