//! Line charts as SVG text.

use plotters::prelude::*;

/// Size of a chart in pixels
const SIZE: (u32, u32) = (960, 240);

/// One line of a chart
pub struct Series {
    /// Label in the legend
    pub label: &'static str,
    /// Points by second since the start
    pub points: Vec<(f64, f64)>,
}

/// Returns a chart of several lines, with vertical marks at some seconds
pub fn lines(title: &str, series: &[Series], marks: &[f64]) -> Result<String, String> {
    let mut svg = String::new();
    draw(&mut svg, title, series, marks).map_err(|error| error.to_string())?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    title: &str,
    series: &[Series],
    marks: &[f64],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || series.iter().flat_map(|series| &series.points);
    let end = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let max = points().map(|(_, y)| *y).fold(1.0, f64::max) * 1.05;
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end, 0.0..max)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_desc("seconds")
        .draw()?;
    let mark_lines = marks
        .iter()
        .map(|x| PathElement::new(vec![(*x, 0.0), (*x, max)], BLACK.mix(0.25)));
    chart.draw_series(mark_lines)?;
    for (index, series) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(series.points.iter().copied(), color))?
            .label(series.label)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    area.present()?;
    Ok(())
}
