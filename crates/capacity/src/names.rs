//! The kebab-case names that run files and pages use for the variants of an enum.

/// Gives an enum without fields its list of variants, their names, the way back and `Display`.
macro_rules! kebab_case_names {
    ($kind:ident { $($variant:ident => $name:literal),+ $(,)? }) => {
        impl $kind {
            /// All variants, in the order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// The name in run files and on pages.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name),+
                }
            }

            /// The variant with this name.
            pub fn from_name(name: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|variant| variant.name() == name)
            }
        }

        impl std::fmt::Display for $kind {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(self.name())
            }
        }
    };
}

pub(crate) use kebab_case_names;
