//! Types that nearly every module of the other packages uses.

pub use crate::arena::Arena;
pub use crate::arena::Key;
pub use crate::catalog::Catalog;
pub use crate::clock::Clock;
pub use crate::clock::Time;
pub use crate::decision::Decision;
pub use crate::id::ConfigNumber;
pub use crate::id::CustomerKey;
pub use crate::id::InstanceId;
pub use crate::id::MapVersion;
pub use crate::id::OperationKey;
pub use crate::id::QueryId;
pub use crate::id::SearchKey;
pub use crate::id::ServiceKey;
pub use crate::id::ShardNo;
pub use crate::id::Snapshot;
pub use crate::id::SnapshotRange;
pub use crate::id::StartId;
pub use crate::id::SubRequestId;
pub use crate::id::UpstreamKey;
pub use crate::id::ZoneKey;
pub use crate::outcome::Refusal;
pub use crate::outcome::RefusalReason;
