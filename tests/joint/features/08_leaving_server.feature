Feature: A leaving backend server receives no new calls after a few seconds
  Scenario: A backend server leaves under steady load
    Given a mesh of two halves in two regions
    When a backend server of catalogue announces that it is leaving
    And callers look up proofs for 3 seconds
    Then the leaving backend server receives no new calls
    And every call was answered
