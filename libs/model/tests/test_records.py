"""Tests of immutable records."""

from dataclasses import field, fields, replace

from fireflyhitch_model.records import immutable


@immutable
class Place:
    """A record with defaults."""

    host: str
    port: int = 80
    notes: list[str] = field(default_factory=list)


@immutable
class Port:
    """A record with one field."""

    number: int


@immutable
class Nothing:
    """A record without fields."""


class TestRecord:
    def test_records_with_equal_fields_are_equal(self) -> None:
        assert Place('a') == Place('a', 80)
        assert Place('a') != Place('b')
        assert Port(80) != Place('a')
        assert Nothing() == Nothing()

    def test_equal_records_are_the_same_dictionary_key(self) -> None:
        assert {Port(80): 'web'}[Port(80)] == 'web'

    def test_repr_contains_all_fields(self) -> None:
        assert repr(Place('a', 81)) == "Place(host='a', port=81, notes=[])"

    def test_record_is_a_dataclass_with_slots(self) -> None:
        assert [found.name for found in fields(Place)] == ['host', 'port', 'notes']
        assert replace(Place('a'), port=81) == Place('a', 81)
        assert not hasattr(Place('a'), '__dict__')
