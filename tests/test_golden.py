"""Guards against changes of wire and stored formats: compares with the expected bytes in tests/golden/data."""

from __future__ import annotations

import pytest

from tests.golden.formats import FORMATS
from tests.golden.sample import DATA, Format, Sample

CASES = [
    pytest.param(form, sample, id=f"{form.file}:{sample.name}") for form in FORMATS for sample in form.samples
]
READABLE = [case for case in CASES if case.values[1].decode is not None]  # type: ignore[union-attr]


@pytest.mark.parametrize(("form", "sample"), CASES)
def test_a_sample_is_encoded_to_the_stored_bytes(form: Format, sample: Sample) -> None:
    assert sample.encode() == form.read()[sample.name]


@pytest.mark.parametrize(("form", "sample"), READABLE)
def test_the_stored_bytes_are_decoded_to_the_sample(form: Format, sample: Sample) -> None:
    assert sample.decode is not None
    assert sample.decode(form.read()[sample.name]) == sample.value


def test_each_stored_line_has_a_sample_and_each_file_a_format() -> None:
    assert sorted(path.name for path in DATA.iterdir()) == sorted(form.file for form in FORMATS)
    for form in FORMATS:
        assert list(form.read()) == [sample.name for sample in form.samples]
