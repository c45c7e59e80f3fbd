use super::*;

#[test]
fn counts_agree_only_where_each_kind_and_direction_does() {
    let parse = |line| PlacerCounts::parse(line).unwrap();
    let placers = parse("counts p:probe:2:40:0:0 p:report:0:0:2:60");
    let nodes = |line| compare(&placers, &parse(line));
    let agreement = |agreed, lost| Ok(Agreement { agreed, lost });
    assert_eq!(
        nodes("counts p:probe:0:0:2:40 p:report:2:60:0:0 q:probe:0:0:9:9"),
        agreement(4, 0)
    );
    assert_eq!(
        nodes("counts p:probe:0:0:1:20 p:report:2:60:0:0"),
        agreement(3, 1),
        "one was not read"
    );
    assert_eq!(
        nodes("counts p:probe:0:0:2:40 p:report:3:90:0:0"),
        agreement(4, 1),
        "one was not read"
    );
    assert!(
        nodes("counts p:probe:0:0:3:40 p:report:2:60:0:0").is_err(),
        "read, never written"
    );
    assert!(
        nodes("counts p:probe:0:0:2:41 p:report:2:60:0:0").is_err(),
        "a byte more"
    );
    assert!(
        nodes("counts p:probe:0:0:2:39 p:report:2:60:0:0").is_err(),
        "a byte fewer"
    );
    assert!(
        nodes("counts p:probe:2:40:0:0 p:report:0:0:2:60").is_err(),
        "the other direction"
    );
    assert!(nodes("counts ").is_err(), "the report was never written");
}
