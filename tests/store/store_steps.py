"""Steps for the records of the store."""

from behave import then
from behave import when

from radishlanding.request import Claim
from radishlanding.store import CorruptRecord
from radishlanding.store import pack
from radishlanding.store import unpack

CLAIM = Claim(
    key="k",
    attempt=1,
    holder="h",
    vm="v",
    incarnation="i",
    clock_ms=1,
    digest="d",
    made_s=1.0,
)


@when("a claim is packed")
def _is_packed(context):
    context.packed = pack(CLAIM)


@when("a claim is packed and {damage}")
def _is_damaged(context, damage):
    packed = pack(CLAIM)
    context.packed = {
        "truncated": packed[:-5],
        "lacks its key": packed.replace(b'"key"', b'"keg"'),
        "is another type": b"[1, 2]",
    }[damage]


@then("unpacking it gives an equal claim")
def _is_equal(context):
    assert unpack(Claim, context.packed) == CLAIM


@then("unpacking it fails with an error that names the type Claim")
def _is_corrupt(context):
    try:
        unpack(Claim, context.packed)
    except CorruptRecord as exc:
        assert "Claim" in str(exc)
    else:
        raise AssertionError("the record was unpacked")
