use super::*;

#[test]
fn counts_agree_only_where_each_kind_and_direction_does() {
    let parse = |line| PlacerCounts::parse(line).unwrap();
    let placers = parse("counts p:probe:2:40:0:0 p:report:0:0:2:60");
    let nodes = |line| agreed(&placers, &parse(line));
    assert_eq!(nodes("counts p:probe:0:0:2:40 p:report:2:60:0:0 q:probe:0:0:9:9"), Ok(4));
    assert!(nodes("counts p:probe:0:0:1:40 p:report:2:60:0:0").is_err(), "a message fewer");
    assert!(nodes("counts p:probe:0:0:2:41 p:report:2:60:0:0").is_err(), "a byte more");
    assert!(nodes("counts p:probe:2:40:0:0 p:report:0:0:2:60").is_err(), "the other direction");
    assert!(nodes("counts ").is_err());
}
