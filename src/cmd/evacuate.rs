//! `fuchsiashore evacuate`.

use {
    super::{
        change::{read_head, submit_change},
        error::CmdError,
        options::OperatorOptions,
    },
    crate::{clock::ProcessClock, config::TableEdit, evacuation::EvacuationEdit},
    std::sync::Arc,
};

/// Evacuates a data centre, or takes that back.
pub async fn run(options: &OperatorOptions, clock: &ProcessClock) -> Result<(), CmdError> {
    let [name] = &*options.files else {
        return Err(CmdError::usage("give the name of one data centre"));
    };
    let data_centre: Arc<str> = name.display().to_string().into();
    let head = read_head(&options.store()?).await?;
    let is_back = options.back;
    if head.tail.evacuations.contains(&data_centre) != is_back {
        let state = if is_back {
            "is not evacuated"
        } else {
            "is evacuated already"
        };
        return Err(CmdError::usage(format!(
            "data centre {data_centre} {state}; see `fuchsiashore status`"
        )));
    }
    let edit = EvacuationEdit { data_centre, is_back };
    submit_change(options, clock, &head, TableEdit::Evacuate(edit)).await
}
