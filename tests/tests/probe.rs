//! Scratch.
use primrosepin_tests::world::Size;
use primrosepin_tests::{Step, World};
#[test]
fn probe() {
    let mut w = World::new(Size::default(), 543854296055);
    for l in [
        "kill 3",
        "target-out 3",
        "target-out 4",
        "send 5 400",
        "send 4 400",
        "send 3 200",
    ] {
        w.step(l.parse::<Step>().unwrap());
    }
    for _ in 0..60 {
        w.step(Step::Wait(10000));
        println!("{:?}", w.outcomes());
    }
}
