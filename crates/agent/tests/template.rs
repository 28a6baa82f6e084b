//! Rendering of argument templates, and values from offers that cannot be used in arguments.

mod support;

use maplethread_agent::template::{ArgumentTemplate, InvalidName};
use maplethread_wire::frame::{DuplicatePolicy, Offer, ResourceAmounts};

fn offer(actor: &str) -> Offer {
    Offer {
        actor: actor.into(),
        service: "web".into(),
        requested: ResourceAmounts {
            cores: 0.5,
            memory_gib: 1.5,
        },
        duplicate_policy: DuplicatePolicy::Idempotent,
        expected_duration_ms: 700,
        ..support::offer(0xab)
    }
}

fn template(text: &str) -> ArgumentTemplate {
    ArgumentTemplate::parse(text).expect("the template is valid")
}

#[test]
fn renders_placeholders_with_values_from_the_offer() {
    let argument = template("--name={service}/{actor}:{attempt}");
    assert_eq!(
        argument.render(&offer("a b;$(x)")).as_deref(),
        Ok("--name=web/a b;$(x):00000000000000ab")
    );
    let sizes = template("{cores} {memory_mib} {life_ms} {{}}");
    assert_eq!(sizes.render(&offer("a")).as_deref(), Ok("0.5 1536 700 {}"));
}

#[test]
fn reports_cause_for_malformed_template() {
    for (text, cause) in [
        ("{unknown}", "unknown placeholder `{unknown}`"),
        ("{actor", "`{` without a matching `}`"),
        ("a}", "`}` without a matching `{`"),
    ] {
        let error = ArgumentTemplate::parse(text).expect_err(text).to_string();
        assert!(error.contains(cause), "{text}: {error}");
    }
}

#[test]
fn rejects_value_that_would_make_argument_an_option_or_contains_nul() {
    let alone = template("{actor}");
    assert_eq!(
        alone.render(&offer("--force")),
        Err(InvalidName::LooksLikeOption)
    );
    assert_eq!(alone.render(&offer("a\0b")), Err(InvalidName::ContainsNul));
    let prefixed = template("--actor={actor}");
    assert_eq!(
        prefixed.render(&offer("--force")).as_deref(),
        Ok("--actor=--force")
    );
}
