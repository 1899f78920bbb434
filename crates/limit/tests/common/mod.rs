//! Constructors of times, instances and reports.

use base::prelude::*;
use limit::Report;
use limit::RequestRate;

pub fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000_000 + millis)
}

pub fn run(number: u64) -> InstanceRun {
    InstanceRun {
        instance: InstanceId::new(&format!("i-{number}")).expect("a valid name"),
        incarnation: 1,
    }
}

pub fn service() -> ServiceName {
    ServiceName::new("status").expect("a valid name")
}

/// Instance `number` names `milli` requests per 1000 seconds; 0 stands for no limit.
pub fn report(number: u64, milli: u32, millis: u64) -> Report {
    Report {
        run: run(number),
        service: service(),
        rate: (milli > 0).then_some(RequestRate::from_milli(milli)),
        heard_at: at(millis),
    }
}
