"""Files under the data folder: journal, snapshot and identity."""
