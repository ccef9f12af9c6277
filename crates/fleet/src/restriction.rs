//! Restrictions under which a node sends to targets, and what they mean for a request that needs one.

use std::sync::Arc;
use std::time::Duration;

use briarswitch_core::id::{Moment, NodeId};
use briarswitch_core::outcome::FailurePoint;

use crate::gauge::SlotGuard;
use crate::routing_table::RouteTarget;
use crate::slot_forecast::ForecastRefusal;

/// Why a node may not send a request to a target for now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Restriction {
    /// This node's share of the target's limit is used up.
    Limited {
        /// When the next request may be sent; `None` if this node has no share.
        free_at: Option<Moment>,
        /// Requests per second that this node may send.
        rate: f64,
        /// When the limit ends; `None` if that is not known.
        ends_at: Option<Moment>,
    },
    /// The target has said that it is leaving.
    Leaving,
    /// The target has refused a request and wants no further ones from this node.
    BackingOff {
        /// When the next request may be sent.
        until: Moment,
    },
}

impl Restriction {
    /// Returns when this node may send the next request; `None` if that is not known.
    fn free_at(&self) -> Option<Moment> {
        match self {
            Self::Limited {
                free_at, ends_at, ..
            } => earliest(*free_at, *ends_at),
            Self::BackingOff { until } => Some(*until),
            Self::Leaving => None,
        }
    }

    /// Returns when this node may send as many requests as it likes; `None` if that is not known.
    fn ends_at(&self) -> Option<Moment> {
        match self {
            Self::Limited { ends_at, .. } => *ends_at,
            Self::BackingOff { until } => Some(*until),
            Self::Leaving => None,
        }
    }

    fn rate(&self) -> f64 {
        match self {
            Self::Limited { rate, .. } => *rate,
            Self::BackingOff { .. } | Self::Leaving => 0.0,
        }
    }
}

/// Targets that a request could not use because of restrictions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PassedOver {
    /// Targets whose limit left this node no room.
    pub limited: u32,
    /// Targets that want no requests from this node for a while.
    pub backing_off: u32,
    /// Targets that have said that they are leaving.
    pub leaving: u32,
}

impl PassedOver {
    /// Counts a target with a restriction.
    pub fn count(&mut self, restriction: Option<Restriction>) {
        match restriction {
            None => {}
            Some(Restriction::Limited { .. }) => self.limited += 1,
            Some(Restriction::BackingOff { .. }) => self.backing_off += 1,
            Some(Restriction::Leaving) => self.leaving += 1,
        }
    }
}

/// A slot for a request.
pub struct AcquiredSlot {
    /// Target that runs the request.
    pub target: Arc<RouteTarget>,
    /// The slot there.
    pub slot: SlotGuard,
    /// Targets that could not be used.
    pub passed_over: PassedOver,
    /// Node that granted the slot; empty if this node found it by itself.
    pub granted_by: NodeId,
}

/// A request for which no slot became free in time, or will.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotError {
    /// Failure to report to the caller.
    pub point: FailurePoint,
    /// Time until a target can be expected to take the request, if known.
    pub available_in: Option<Duration>,
    /// Targets that could not be used.
    pub passed_over: PassedOver,
    /// Forecast because of which the request is refused, if it is.
    pub forecast: Option<ForecastRefusal>,
}

impl From<FailurePoint> for SlotError {
    fn from(point: FailurePoint) -> Self {
        Self {
            point,
            available_in: None,
            passed_over: PassedOver::default(),
            forecast: None,
        }
    }
}

/// What a request can expect of the targets that it is permitted to use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetOutlook {
    /// Targets that cannot be used now.
    pub passed_over: PassedOver,
    is_open: bool,
    is_restricted: bool,
    /// When the first target becomes free to which the request has not been sent yet.
    free_at: Option<Moment>,
    /// When the first of these targets has no restriction any more.
    ends_at: Option<Moment>,
    /// When the first target becomes free, for another attempt of the caller.
    retry_at: Option<Moment>,
    /// Requests per second that this node may send to the restricted targets.
    rate: f64,
}

impl TargetOutlook {
    /// Adds a target that the request is permitted to use.
    pub fn add(&mut self, restriction: Option<Restriction>, is_tried: bool) {
        let Some(restriction) = restriction else {
            self.is_open |= !is_tried;
            return;
        };
        self.passed_over.count(Some(restriction));
        if restriction == Restriction::Leaving {
            // As with a target that the directory no longer lists, another one may be about to take its place.
            return;
        }
        self.is_restricted = true;
        let free_at = restriction.free_at();
        self.retry_at = earliest(self.retry_at, free_at);
        if !is_tried {
            self.free_at = earliest(self.free_at, free_at);
            self.ends_at = earliest(self.ends_at, restriction.ends_at());
            self.rate += restriction.rate();
        }
    }

    /// Returns why a request that would be refused at `refuse_at` is refused now: restrictions keep it from every
    /// target for so long, given the requests that wait already.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use briarswitch_fleet::restriction::{Restriction, TargetOutlook};
    ///
    /// let at = Duration::from_secs;
    /// let mut outlook = TargetOutlook::default();
    /// outlook.add(Some(Restriction::Limited { free_at: Some(at(12)), rate: 0.5, ends_at: None }), false);
    /// assert!(outlook.refusal(0, at(13), at(10)).is_none());
    /// let refusal = outlook.refusal(1, at(13), at(10)).unwrap();
    /// assert_eq!(refusal.available_in, Some(at(4)));
    /// outlook.add(None, false);
    /// assert!(outlook.refusal(1, at(13), at(10)).is_none());
    /// ```
    pub fn refusal(&self, waiting: usize, refuse_at: Moment, now: Moment) -> Option<SlotError> {
        if self.is_open || !self.is_restricted {
            return None;
        }
        let behind = if self.rate > 0.0 {
            Duration::from_secs_f64(waiting as f64 / self.rate)
        } else {
            Duration::ZERO
        };
        let behind_others = self.free_at.map(|at| at + behind);
        let expected_at = earliest(behind_others, self.ends_at);
        if expected_at.is_some_and(|at| at < refuse_at) {
            return None;
        }
        let available_at = expected_at.or(self.retry_at);
        Some(SlotError {
            point: FailurePoint::NoTarget,
            available_in: available_at.map(|at| at.saturating_sub(now)),
            passed_over: self.passed_over,
            forecast: None,
        })
    }
}

fn earliest(left: Option<Moment>, right: Option<Moment>) -> Option<Moment> {
    left.into_iter().chain(right).min()
}
