//! Parses and encodes submissions as `multipart/form-data`.

use futures_util::stream;
use std::collections::BTreeMap;
use std::convert::Infallible;

/// The fields and attached files of a submission.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Form {
    pub fields: BTreeMap<String, String>,
    /// Contents of each `workflow_attachment`, keyed by file name.
    pub files: BTreeMap<String, String>,
}

const MAX_PARTS: usize = 300;

/// Parses a form.
///
/// # Errors
/// Returns a message if the body is malformed, has too many parts, or has an attachment without a safe
/// relative file name.
pub async fn parse(content_type: Option<&str>, body: Vec<u8>) -> Result<Form, String> {
    let boundary = content_type.and_then(|c| multer::parse_boundary(c).ok());
    let boundary = boundary.ok_or("the body must be multipart/form-data with a boundary")?;
    let chunks = stream::iter([Ok::<_, Infallible>(bytes::Bytes::from(body))]);
    let mut parts = multer::Multipart::new(chunks, boundary);
    let mut form = Form::default();
    let mut count = 0;
    while let Some(part) = parts.next_field().await.map_err(|e| e.to_string())? {
        count += 1;
        if count > MAX_PARTS {
            return Err(format!("the form has more than {MAX_PARTS} parts"));
        }
        let name = part.name().unwrap_or_default().to_owned();
        let file_name = part.file_name().map(str::to_owned);
        let text = part
            .text()
            .await
            .map_err(|e| format!("part '{name}': {e}"))?;
        match (name.as_str(), file_name) {
            ("workflow_attachment", Some(file_name)) => {
                let is_safe_path = !file_name.is_empty()
                    && !file_name.starts_with('/')
                    && !file_name.split('/').any(|p| p == "..");
                if !is_safe_path {
                    return Err(format!(
                        "workflow_attachment '{file_name}': the file name must be a relative path without '..'"
                    ));
                }
                form.files.insert(file_name, text);
            }
            ("workflow_attachment", None) => {
                return Err("workflow_attachment requires a file name".into());
            }
            _ => {
                form.fields.insert(name, text);
            }
        }
    }
    Ok(form)
}

/// Encodes a form and returns its content type and body.
pub fn encode(form: &Form) -> (String, Vec<u8>) {
    // The 128 random bits make a collision with the contents of a part practically impossible.
    let boundary = format!("hopyoke-{:032x}", rand::random::<u128>());
    let mut out = Vec::new();
    let escape = |s: &str| {
        s.replace('\\', "%5C")
            .replace('"', "%22")
            .replace(['\r', '\n'], "%0A")
    };
    let mut append_part = |name: &str, file_name: Option<&str>, text: &str| {
        let file_name =
            file_name.map_or(String::new(), |f| format!("; filename=\"{}\"", escape(f)));
        let header = format!(
            "--{boundary}\r\nContent-Disposition: form-data; name=\"{}\"{file_name}\r\n\r\n",
            escape(name)
        );
        out.extend_from_slice(header.as_bytes());
        out.extend_from_slice(text.as_bytes());
        out.extend_from_slice(b"\r\n");
    };
    for (name, text) in &form.fields {
        append_part(name, None, text);
    }
    for (name, text) in &form.files {
        append_part("workflow_attachment", Some(name), text);
    }
    out.extend_from_slice(format!("--{boundary}--\r\n").as_bytes());
    (format!("multipart/form-data; boundary={boundary}"), out)
}
