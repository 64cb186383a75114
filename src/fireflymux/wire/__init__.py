"""Wire formats: JSON codec, HTTP headers, packed service totals and message sizes."""
