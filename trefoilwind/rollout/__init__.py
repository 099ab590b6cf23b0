"""Judgement of new versions and the shares that follow from it."""
