//! Entry answers spread the callers of large and small organisations over all routers.

mod support;

use laburnumwheel_core::time::Span;

use support::Cluster;

const ROUTERS: usize = 9;
/// Number of callers of each organisation, three of which are large.
const CALLERS: [usize; 10] = [40, 30, 20, 4, 4, 4, 4, 4, 4, 4];
/// Time for which callers keep an entry answer, in seconds.
const ENTRY_TTL_S: u64 = 10;

/// Callers keep their entry answers for 10 s, which could concentrate them on few routers. No
/// router may get much more than its share, and most callers must get a router in their own failure
/// domain.
#[test]
fn callers_are_spread_over_all_routers() {
    // Arrange
    let mut cluster = Cluster::start(ROUTERS, 1);
    let callers: usize = CALLERS.iter().sum();
    let mut at = vec![(0, false); callers];
    let (mut most, mut near, mut draws) = (0.0f64, 0u32, 0u32);
    let mut loads = [0u64; ROUTERS];

    // Act
    for second in 0..120 {
        for (caller, place) in at.iter_mut().enumerate() {
            if second > ENTRY_TTL_S && !(second + caller as u64).is_multiple_of(ENTRY_TTL_S) {
                continue;
            }
            let now = cluster.network.now;
            let queried = (caller + second as usize) % ROUTERS;
            let domain = if caller % 2 == 0 { "a" } else { "b" };
            let node = cluster.network.node_mut(queried).expect("the router should be running");
            let answer = node.entry(now, Some(domain), None).expect("the router should answer");
            let first = &answer.addresses[0];
            let port = first.address.rsplit(':').next().and_then(|p| p.parse::<usize>().ok());
            *place = (
                port.expect("the address should have a port") - 9000,
                first.failure_domain == domain,
            );
            draws += 1;
            near += u32::from(place.1);
        }
        let mut load = [0u64; ROUTERS];
        for (router, _) in &at {
            load[*router] += 1;
        }
        if second > ENTRY_TTL_S {
            let mean = callers as f64 / ROUTERS as f64;
            most = most.max(load.iter().copied().max().unwrap_or(0) as f64 / mean);
            loads.iter_mut().zip(load).for_each(|(sum, n)| *sum += n);
        }
        cluster.advance(Span::secs(1));
    }

    // Assert
    let total: u64 = loads.iter().sum();
    let part = |n: &u64| *n as f64 * ROUTERS as f64 / total as f64;
    let (least, largest) = (loads.iter().min().map(part), loads.iter().max().map(part));
    println!(
        "at any moment at most {most:.2} times the mean; over time {least:.2?} to {largest:.2?}; \
         {:.0}% in the caller's domain",
        100.0 * f64::from(near) / f64::from(draws)
    );
    assert!(most < 2.5, "{most}");
    assert!(near * 10 >= draws * 8, "{near} of {draws}");
}
