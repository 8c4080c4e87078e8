mod world;
use world::World;
#[test]
fn trace() {
    let seed: u64 = std::env::var("SEED").unwrap().parse().unwrap();
    let count: usize = std::env::var("COUNT").unwrap().parse().unwrap();
    let mut world = World::first_start(seed, count, count | 1);
    for _ in 0..60 {
        world.run(50);
        let line: Vec<String> = world.nodes.iter().map(|n| match &n.council {
            None => "-".into(),
            Some(c) => format!("{:?}/{:?}/{:?}{}", n.mark(), c.set().mark(), n.term(world.now).map(|t| t & 0xffff), if c.is_settled() {"s"} else {""}),
        }).collect();
        println!("{} w{} {}", world.now, world.oracle.writes, line.join(" "));
    }
}
