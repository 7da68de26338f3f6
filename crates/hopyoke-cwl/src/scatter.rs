//! Computes the invocations of a scattered step and combines their outputs.

use crate::model::ScatterMethod;
use serde_json::Value;

/// Returns, for each invocation, the index into each scattered list, in the order of `lengths`.
///
/// # Errors
/// Returns an error if there are more than `limit` invocations or, for a dot product, if the lengths differ.
pub(crate) fn invocations(
    scatter_method: ScatterMethod,
    lengths: &[usize],
    limit: usize,
) -> Result<Vec<Vec<usize>>, String> {
    match scatter_method {
        ScatterMethod::Dot => {
            let n = lengths.first().copied().unwrap_or(0);
            if lengths.iter().any(|l| *l != n) {
                return Err(format!(
                    "the scattered lists have different lengths: {lengths:?}"
                ));
            }
            check_limit(n, limit)?;
            Ok((0..n).map(|i| vec![i; lengths.len()]).collect())
        }
        ScatterMethod::Nested | ScatterMethod::Flat => {
            let n = lengths
                .iter()
                .try_fold(1usize, |a, b| a.checked_mul(*b))
                .unwrap_or(usize::MAX);
            check_limit(n, limit)?;
            let mut out = Vec::with_capacity(n);
            for mut k in 0..n {
                let mut indices = vec![0; lengths.len()];
                for (i, l) in lengths.iter().enumerate().rev() {
                    indices[i] = k % l;
                    k /= l;
                }
                out.push(indices);
            }
            Ok(out)
        }
    }
}

fn check_limit(n: usize, limit: usize) -> Result<(), String> {
    if n > limit {
        Err(format!(
            "the scatter has {n} invocations; at most {limit} remain for the run"
        ))
    } else {
        Ok(())
    }
}

/// Combines the values of one output, in the order of invocations, into the output of the step.
pub(crate) fn collect_outputs(
    scatter_method: ScatterMethod,
    lengths: &[usize],
    values: Vec<Value>,
) -> Value {
    if scatter_method != ScatterMethod::Nested || lengths.len() < 2 {
        return Value::Array(values);
    }
    let inner: usize = lengths[1..].iter().product();
    if inner == 0 {
        return Value::Array(
            (0..lengths[0])
                .map(|_| collect_outputs(scatter_method, &lengths[1..], Vec::new()))
                .collect(),
        );
    }
    let mut values = values.into_iter();
    let rows = (0..lengths[0]).map(|_| {
        collect_outputs(
            scatter_method,
            &lengths[1..],
            values.by_ref().take(inner).collect(),
        )
    });
    Value::Array(rows.collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn products() {
        let dot = invocations(ScatterMethod::Dot, &[2, 2], 10).expect("equal lengths");
        assert_eq!(dot, [[0, 0], [1, 1]]);
        assert!(invocations(ScatterMethod::Dot, &[2, 3], 10).is_err());
        let flat = invocations(ScatterMethod::Flat, &[2, 3], 10).expect("few");
        assert_eq!(flat, [[0, 0], [0, 1], [0, 2], [1, 0], [1, 1], [1, 2]]);
        assert!(invocations(ScatterMethod::Flat, &[1 << 40, 1 << 40], 10).is_err());
        let values = (0..6).map(Value::from).collect();
        assert_eq!(
            collect_outputs(ScatterMethod::Nested, &[2, 3], values),
            serde_json::json!([[0, 1, 2], [3, 4, 5]])
        );
        assert_eq!(
            collect_outputs(ScatterMethod::Nested, &[2, 0], Vec::new()),
            serde_json::json!([[], []])
        );
        assert_eq!(invocations(ScatterMethod::Nested, &[0, 3], 10), Ok(vec![]));
    }
}
