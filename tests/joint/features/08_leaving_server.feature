Feature: A leaving backend server gets no new work after a few seconds
  Scenario: A backend server leaves during steady work
    Given a mesh of two halves in two regions
    When a backend server of catalogue announces that it leaves
    And callers look up proofs for 3 seconds
    Then the leaving backend server gets no new call
    And every call was answered
