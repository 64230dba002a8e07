//! Parses Kubernetes resource quantities such as `500m`, `1.5Gi` and `2e3`.

/// Parses a quantity; None if it is malformed or negative, or if its exponent is out
/// of range.
pub fn parse(text: &str) -> Option<f64> {
    let split = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (number, suffix) = text.split_at(split);
    let number: f64 = number.parse().ok()?;
    let factor = match suffix {
        "" => 1.0,
        "n" => 1e-9,
        "u" => 1e-6,
        "m" => 1e-3,
        "k" => 1e3,
        "M" => 1e6,
        "G" => 1e9,
        "T" => 1e12,
        "P" => 1e15,
        "E" => 1e18,
        "Ki" => 1024.0,
        "Mi" => 1024f64.powi(2),
        "Gi" => 1024f64.powi(3),
        "Ti" => 1024f64.powi(4),
        "Pi" => 1024f64.powi(5),
        "Ei" => 1024f64.powi(6),
        _ => {
            let exponent = suffix.strip_prefix(['e', 'E'])?;
            10f64.powi(exponent.parse::<i8>().ok()?.into())
        }
    };
    Some(number * factor)
}

#[cfg(test)]
mod tests {
    use super::parse;

    #[test]
    fn valid_quantities_parse_and_malformed_ones_are_rejected() {
        for (text, amount) in [
            ("4", 4.0),
            ("500m", 0.5),
            ("1.5Gi", 1.5 * 1024.0 * 1024.0 * 1024.0),
            ("14G", 14e9),
            ("2e3", 2000.0),
            ("3E-1", 0.3),
            ("2E", 2e18),
            ("250u", 250e-6),
        ] {
            let parsed = parse(text).expect(text);
            assert!(
                (parsed - amount).abs() <= amount * 1e-12,
                "{text}: {parsed}"
            );
        }
        for text in [
            "", "-1", "1x", "m", "1 G", "1e", "1e999", ".", "1.2.3", "NaN", "1ee3",
        ] {
            assert_eq!(parse(text), None, "{text}");
        }
    }
}
