//! Load driver, experiments, tables, plots and JSON reports
