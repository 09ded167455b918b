from __future__ import annotations

from result import Err
from result import Ok

from jujubehall.errors import Failure
from jujubehall.errors import FailureKind
from jujubehall.metrics import BoundedLabels
from jujubehall.metrics import result_label


def test_labels_that_callers_choose_are_bounded() -> None:
    labels = BoundedLabels(2)
    assert [labels.label(kind) for kind in ("a", "b", "c", "a")] == ["a", "b", "other", "a"]


def test_results_are_labelled_by_the_kind_of_failure() -> None:
    assert result_label(Ok(1)) == "ok"
    assert result_label(Err(Failure(FailureKind.CONFLICT, "put", "platform"))) == "conflict"
