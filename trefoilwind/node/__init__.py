"""Actors that run controllers over the blackboard."""
