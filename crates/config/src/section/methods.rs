//! Sections `[[method]]` and `[members]`: JSON-RPC methods, and the members that carry the attributes of a
//! call.

use decide::Semantics;
use serde::Deserialize;

use super::class::Class;
use crate::checker::{Checker, NameIndex, SpannedString};
use crate::diagnostics::suggest;
use crate::method::{HttpMethod, Member, Members, Method, Methods, PathTemplate};

#[derive(Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Method")]
pub(crate) struct MethodFile {
    pub name: SpannedString,
    pub class: SpannedString,
    #[serde(rename = "verb")]
    pub http_method: Option<SpannedString>,
    pub path: Option<SpannedString>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Members")]
pub(crate) struct MembersFile {
    pub key: Option<SpannedString>,
    pub timeout_ms: Option<SpannedString>,
    pub tenant: Option<SpannedString>,
    pub class: Option<SpannedString>,
    pub id: Option<SpannedString>,
}

impl Checker<'_> {
    /// The configured methods, and a default method for each class that has none. A class gets no default
    /// method if a method of another class has its name.
    pub(crate) fn methods(
        &mut self,
        sections: &[MethodFile],
        members: &MembersFile,
        classes: &[Class],
        class_names: &NameIndex,
    ) -> Methods {
        let members = self.members(members);
        self.name_index("method", sections.iter().map(|section| &section.name));
        let mut all: Vec<Method> = Vec::new();
        for section in sections {
            let Some(class) = self.resolve("class", &section.class, class_names) else { continue };
            all.push(self.method(section, class, &classes[class], &members.key));
        }
        for (index, class) in classes.iter().enumerate() {
            if !all.iter().any(|method| method.class == index || *method.name == *class.name) {
                all.push(method_of_class(index, class, &members.key));
            }
        }
        Methods { all, members }
    }

    fn members(&mut self, file: &MembersFile) -> Members {
        let default = Members::default();
        Members {
            key: self.member("key", &file.key, default.key),
            timeout_ms: self.member("timeout_ms", &file.timeout_ms, default.timeout_ms),
            tenant: self.member("tenant", &file.tenant, default.tenant),
            class: self.member("class", &file.class, default.class),
            id: self.member("id", &file.id, default.id),
        }
    }

    fn member(&mut self, key: &str, word: &Option<SpannedString>, default: Member) -> Member {
        let Some(word) = word else { return default };
        Member::parse(word.get_ref()).unwrap_or_else(|| {
            let help = "write \"name\" or \"object.name\"".to_owned();
            self.report(word.span(), format!("`{key}`: {:?} is no member", word.get_ref()), Some(help));
            default
        })
    }

    fn method(&mut self, section: &MethodFile, index: usize, class: &Class, key: &Member) -> Method {
        let name = section.name.get_ref();
        let http_method = self.http_method(section, class);
        let path = section.path.as_ref().and_then(|word| self.path_template(word));
        let path = path.unwrap_or_else(|| PathTemplate::of_method(name, key));
        Method { name: name.as_str().into(), class: index, http_method, path }
    }

    fn http_method(&mut self, section: &MethodFile, class: &Class) -> HttpMethod {
        let Some(word) = &section.http_method else { return default_http_method(class) };
        match word.get_ref().as_str() {
            "GET" => HttpMethod::Get,
            "POST" => HttpMethod::Post,
            other => {
                let help = suggest(other, &["GET", "POST"]);
                self.report(word.span(), format!("`verb`: {other:?} is none of them"), Some(help));
                HttpMethod::Post
            }
        }
    }

    fn path_template(&mut self, word: &SpannedString) -> Option<PathTemplate> {
        let template = PathTemplate::parse(word.get_ref());
        if template.is_none() {
            let help = "write one such as \"/report-result/{table}\"".to_owned();
            self.report(word.span(), format!("`path`: {:?} is no path", word.get_ref()), Some(help));
        }
        template
    }
}

fn default_http_method(class: &Class) -> HttpMethod {
    match class.parameters.semantics {
        Semantics::Idempotent => HttpMethod::Get,
        Semantics::Deduplicated { .. } | Semantics::AtMostOnce => HttpMethod::Post,
    }
}

/// The default method of a class. It has the name of the class.
fn method_of_class(index: usize, class: &Class, key: &Member) -> Method {
    Method {
        name: class.name.as_str().into(),
        class: index,
        http_method: default_http_method(class),
        path: PathTemplate::of_method(&class.name, key),
    }
}
