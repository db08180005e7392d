//! Compares the committed types of the administration port with those generated from the schema.

use std::path::Path;

use typify::TypeSpace;
use typify::TypeSpaceSettings;

fn read_file(name: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
    std::fs::read_to_string(file).expect("the file exists")
}

/// Returns Rust source in a uniform layout, without comments and without attributes of the file.
fn normalize(text: &str) -> String {
    let file = syn::parse_file(text).expect("Rust text");
    let items = syn::File { shebang: None, attrs: Vec::new(), items: file.items };
    prettyplease::unparse(&items)
}

#[test]
fn the_committed_types_match_the_schema() {
    let schema = serde_json::from_str(&read_file("schema/admin.json")).expect("a schema");
    let mut space = TypeSpace::new(&TypeSpaceSettings::default());
    space.add_root_schema(schema).expect("types");
    let generated = space.to_stream().to_string();
    let committed = read_file("src/admin/generated.rs");
    assert_eq!(
        normalize(&committed),
        normalize(&generated),
        "src/admin/generated.rs is out of date; regenerate it from the schema"
    );
}
