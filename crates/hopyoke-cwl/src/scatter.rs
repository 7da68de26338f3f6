//! The places of a scatter: which elements each takes, and how their outputs are put together.

use crate::model::Method;
use serde_json::Value;

/// For each place, the element of each scattered input, in the order of `lengths`.
///
/// # Errors
/// Lists of different lengths, by dot product.
pub(crate) fn places(
    method: Method,
    lengths: &[usize],
    most: usize,
) -> Result<Vec<Vec<usize>>, String> {
    match method {
        Method::Dot => {
            let n = lengths.first().copied().unwrap_or(0);
            if lengths.iter().any(|l| *l != n) {
                return Err(format!(
                    "the lists to scatter have different lengths: {lengths:?}"
                ));
            }
            within(n, most)?;
            Ok((0..n).map(|i| vec![i; lengths.len()]).collect())
        }
        Method::Nested | Method::Flat => {
            let n = lengths
                .iter()
                .try_fold(1usize, |a, b| a.checked_mul(*b))
                .unwrap_or(usize::MAX);
            within(n, most)?;
            let mut out = Vec::with_capacity(n);
            for mut k in 0..n {
                let mut place = vec![0; lengths.len()];
                for (i, l) in lengths.iter().enumerate().rev() {
                    place[i] = k % l;
                    k /= l;
                }
                out.push(place);
            }
            Ok(out)
        }
    }
}

fn within(n: usize, most: usize) -> Result<(), String> {
    if n > most {
        Err(format!(
            "it has {n} places; at most {most} are left for the run"
        ))
    } else {
        Ok(())
    }
}

/// An output's values, place by place, as the step yields them.
pub(crate) fn collect(method: Method, lengths: &[usize], values: Vec<Value>) -> Value {
    if method != Method::Nested || lengths.len() < 2 {
        return Value::Array(values);
    }
    let inner: usize = lengths[1..].iter().product();
    if inner == 0 {
        return Value::Array(
            (0..lengths[0])
                .map(|_| collect(method, &lengths[1..], Vec::new()))
                .collect(),
        );
    }
    let mut values = values.into_iter();
    let rows = (0..lengths[0])
        .map(|_| collect(method, &lengths[1..], values.by_ref().take(inner).collect()));
    Value::Array(rows.collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn products() {
        let dot = places(Method::Dot, &[2, 2], 10).expect("equal lengths");
        assert_eq!(dot, [[0, 0], [1, 1]]);
        assert!(places(Method::Dot, &[2, 3], 10).is_err());
        let flat = places(Method::Flat, &[2, 3], 10).expect("few");
        assert_eq!(flat, [[0, 0], [0, 1], [0, 2], [1, 0], [1, 1], [1, 2]]);
        assert!(places(Method::Flat, &[1 << 40, 1 << 40], 10).is_err());
        let values = (0..6).map(Value::from).collect();
        assert_eq!(
            collect(Method::Nested, &[2, 3], values),
            serde_json::json!([[0, 1, 2], [3, 4, 5]])
        );
        assert_eq!(
            collect(Method::Nested, &[2, 0], Vec::new()),
            serde_json::json!([[], []])
        );
        assert_eq!(places(Method::Nested, &[0, 3], 10), Ok(vec![]));
    }
}
