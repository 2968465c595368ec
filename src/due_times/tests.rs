use super::*;

#[test]
fn slots_are_returned_once_in_the_order_of_their_due_times() {
    let mut due_times = DueTimes::default();
    due_times.set(1, Some(Time(30)));
    due_times.set(2, Some(Time(10)));
    due_times.set(3, Some(Time(20)));
    due_times.set(1, Some(Time(5)));
    due_times.set(3, None);
    assert_eq!(due_times.due(Time(9)).collect::<Vec<_>>(), [1]);
    assert_eq!(due_times.due(Time(10)).collect::<Vec<_>>(), [1, 2]);
    assert_eq!((due_times.due_at(1), due_times.due_at(3), due_times.len()), (Some(Time(5)), None, 2));
}
