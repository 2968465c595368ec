use super::super::file::tests::Folder;
use super::*;

#[test]
fn a_failed_replacement_leaves_the_old_text_and_no_temporary_file() {
    let folder = Folder::new("replace");
    let file = folder.0.join("a.json");
    for durability in [Durability::ProcessExit, Durability::PowerLoss] {
        replace(&file, b"old", durability).expect("replaced");
        replace(&file, b"new", durability).expect("replaced");
        assert_eq!(fs::read(&file).expect("text"), b"new");
        assert!(replace(&folder.0.join("nowhere/a.json"), b"x", durability).is_err());
        // Where the path is a folder that is not empty, only the rename fails, the last step.
        let occupied = folder.0.join("taken.json");
        fs::create_dir_all(occupied.join("full")).expect("a folder");
        assert!(replace(&occupied, b"x", durability).is_err());
        let mut names: Vec<_> =
            fs::read_dir(&folder.0).expect("a folder").flatten().map(|e| e.file_name()).collect();
        names.sort();
        assert_eq!(names, ["a.json", "taken.json"]);
    }
}

#[tokio::test]
async fn files_are_replaced_in_the_order_of_the_requests() {
    let folder = Folder::new("order");
    let file = folder.0.join("a.json");
    let writer = Writer::start().expect("a thread");
    for number in 0..20 {
        writer.replace(file.clone(), vec![number], Durability::PowerLoss).await.expect("replaced");
        assert_eq!(fs::read(&file).expect("text"), [number]);
    }
    assert!(writer.replace(folder.0.join("nowhere/a"), Vec::new(), Durability::ProcessExit).await.is_err());
}
