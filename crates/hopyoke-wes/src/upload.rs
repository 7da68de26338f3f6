//! `multipart/form-data`, as the service's submissions come, and as the command line sends them.

use futures_util::stream;
use std::collections::BTreeMap;
use std::convert::Infallible;

/// The fields of a form, and its files by their names.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Form {
    pub fields: BTreeMap<String, String>,
    /// Each `workflow_attachment` by its file name.
    pub files: BTreeMap<String, String>,
}

const MOST_PARTS: usize = 300;

/// Reads a form.
///
/// # Errors
/// What is wrong with it.
pub async fn read(content_type: Option<&str>, body: Vec<u8>) -> Result<Form, String> {
    let boundary = content_type.and_then(|c| multer::parse_boundary(c).ok());
    let boundary = boundary.ok_or("the body must be multipart/form-data, with its boundary")?;
    let chunks = stream::iter([Ok::<_, Infallible>(bytes::Bytes::from(body))]);
    let mut parts = multer::Multipart::new(chunks, boundary);
    let mut form = Form::default();
    let mut count = 0;
    while let Some(part) = parts.next_field().await.map_err(|e| e.to_string())? {
        count += 1;
        if count > MOST_PARTS {
            return Err(format!("more than {MOST_PARTS} parts"));
        }
        let name = part.name().unwrap_or_default().to_owned();
        let file = part.file_name().map(str::to_owned);
        let text = part
            .text()
            .await
            .map_err(|e| format!("part '{name}': {e}"))?;
        match (name.as_str(), file) {
            ("workflow_attachment", Some(file)) => {
                let plain = !file.is_empty()
                    && !file.starts_with('/')
                    && !file.split('/').any(|p| p == "..");
                if !plain {
                    return Err(format!(
                        "workflow_attachment '{file}': its name must be a path without '..'"
                    ));
                }
                form.files.insert(file, text);
            }
            ("workflow_attachment", None) => {
                return Err("a workflow_attachment needs a filename".into());
            }
            _ => {
                form.fields.insert(name, text);
            }
        }
    }
    Ok(form)
}

/// Writes a form: its content type and body.
pub fn write(form: &Form) -> (String, Vec<u8>) {
    // A boundary that no part can hold but by a chance of one in 2¹²⁸.
    let boundary = format!("hopyoke-{:032x}", rand::random::<u128>());
    let mut out = Vec::new();
    let quoted = |s: &str| {
        s.replace('\\', "%5C")
            .replace('"', "%22")
            .replace(['\r', '\n'], "%0A")
    };
    let mut part = |name: &str, file: Option<&str>, text: &str| {
        let file = file.map_or(String::new(), |f| format!("; filename=\"{}\"", quoted(f)));
        let head = format!(
            "--{boundary}\r\nContent-Disposition: form-data; name=\"{}\"{file}\r\n\r\n",
            quoted(name)
        );
        out.extend_from_slice(head.as_bytes());
        out.extend_from_slice(text.as_bytes());
        out.extend_from_slice(b"\r\n");
    };
    for (name, text) in &form.fields {
        part(name, None, text);
    }
    for (name, text) in &form.files {
        part("workflow_attachment", Some(name), text);
    }
    out.extend_from_slice(format!("--{boundary}--\r\n").as_bytes());
    (format!("multipart/form-data; boundary={boundary}"), out)
}
