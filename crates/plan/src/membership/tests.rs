use super::*;

#[test]
fn every_node_votes_unless_the_list_marks_control_machines() {
    let all = Membership::from_control_nodes(BTreeSet::new());
    assert_eq!(
        (all.role(0), all.role(9)),
        (MemberRole::Voter, MemberRole::Voter)
    );
    let control = Membership::from_control_nodes(BTreeSet::from([1, 3]));
    let roles = [0, 1, 2, 3].map(|node| control.role(node));
    assert_eq!(
        roles,
        [
            MemberRole::Learner,
            MemberRole::Voter,
            MemberRole::Learner,
            MemberRole::Voter
        ]
    );
}
